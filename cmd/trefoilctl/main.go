// Command trefoilctl is the operators' command-line client of the
// administration API.
package main

import (
	"os"

	"trefoilstream.example/trefoilstream/internal/ctl"
)

func main() { os.Exit(ctl.Main(os.Args[1:], os.Stdout, os.Stderr, os.Getenv)) }
