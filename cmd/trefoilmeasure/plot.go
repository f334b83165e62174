package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/integrii/flaggy"

	"trefoilstream.example/trefoilstream/internal/plots"
)

// plotCommand draws results of the external benchmark.
type plotCommand struct {
	*flaggy.Subcommand
	report, log, sweep, out string
}

func newPlotCommand() *plotCommand {
	c := &plotCommand{Subcommand: flaggy.NewSubcommand("plot"), out: "plot.svg"}
	c.Description = "draws a day or a sweep of the external benchmark as SVG"
	c.String(&c.report, "", "report", "report of a day as JSON")
	c.String(&c.log, "", "log", "output of the same run with the logs of all instances, for detection")
	c.String(&c.sweep, "", "sweep", "output of a sweep, instead of a report")
	c.String(&c.out, "", "out", "file to write")
	return c
}

func (c *plotCommand) run() (err error) {
	if (c.report == "") == (c.sweep == "") {
		return errors.New("plot requires exactly one of --report and --sweep")
	}
	if c.log != "" && c.report == "" {
		return errors.New("--log requires --report")
	}
	var (
		day     *plots.Day
		sizes   []plots.SizeResult
		changes []plots.SuspicionChange
	)
	if c.sweep != "" {
		sizes, err = readFile(c.sweep, plots.ReadSweep)
	} else {
		day, err = readFile(c.report, plots.ReadDay)
	}
	if err == nil && c.log != "" {
		changes, err = readFile(c.log, plots.ReadSuspicionChanges)
	}
	if err != nil {
		return err
	}
	f, err := os.Create(c.out)
	if err != nil {
		return err
	}
	if day != nil {
		err = plots.DrawDay(f, day, changes)
	} else {
		err = plots.DrawSweep(f, sizes)
	}
	return errors.Join(err, f.Close())
}

// readFile opens a file and decodes it with read. Errors of read are prefixed
// with the file name.
func readFile[T any](name string, read func(r io.Reader) (T, error)) (T, error) {
	var none T
	f, err := os.Open(name)
	if err != nil {
		return none, err
	}
	defer func() { _ = f.Close() }()
	v, err := read(f)
	if err != nil {
		return none, fmt.Errorf("%s: %w", name, err)
	}
	return v, nil
}
