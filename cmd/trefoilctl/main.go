// Command trefoilctl is the command-line client of operators.
package main

import (
	"os"

	"trefoilstream.example/trefoilstream/internal/ctl"
)

func main() { os.Exit(ctl.Main(os.Args[1:], os.Stdout, os.Stderr, os.Getenv)) }
