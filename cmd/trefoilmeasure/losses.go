package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"trefoilstream.example/trefoilstream/internal/losses"
	"trefoilstream.example/trefoilstream/internal/plots"
)

// lossesCommand tells from logs which requests callers lost, and why.
type lossesCommand struct {
	*flaggy.Subcommand
	logs, from, to, out string
}

func newLossesCommand() *lossesCommand {
	c := &lossesCommand{Subcommand: flaggy.NewSubcommand("losses")}
	c.Description = "accounts for requests that were not served in time, from the logs of instances"
	c.String(&c.logs, "", "log", "files with JSON logs, separated by commas")
	c.String(&c.from, "", "from", "start of the time span, as in the logs (RFC 3339)")
	c.String(&c.to, "", "to", "end of the time span")
	c.String(&c.out, "", "out", "also draw the losses over time to this SVG file")
	return c
}

func (c *lossesCommand) run(w io.Writer) error {
	if c.logs == "" {
		return errors.New("losses requires --log")
	}
	from, err := parseTime("from", c.from)
	if err != nil {
		return err
	}
	to, err := parseTime("to", c.to)
	if err != nil {
		return err
	}
	var a losses.Account
	for name := range strings.SplitSeq(c.logs, ",") {
		if _, err := readFile(name, func(r io.Reader) (struct{}, error) { return struct{}{}, a.Read(r, from, to) }); err != nil {
			return err
		}
	}
	if err := a.Print(w); err != nil || c.out == "" || len(a.Losses) == 0 {
		return err
	}
	f, err := os.Create(c.out)
	if err != nil {
		return err
	}
	return errors.Join(plots.DrawLosses(f, &a), f.Close())
}

func parseTime(flag, text string) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return t, fmt.Errorf("--%s: %w", flag, err)
	}
	return t, nil
}
