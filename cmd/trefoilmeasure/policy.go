package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/integrii/flaggy"

	"trefoilstream.example/trefoilstream/internal/dispatch"
	"trefoilstream.example/trefoilstream/internal/simulation"
)

// progressInterval is the number of days between lines about the progress.
const progressInterval = 200

// policyCommand compares dispatch policies on simulated days.
type policyCommand struct {
	*flaggy.Subcommand
	seeds   int
	first   uint64
	length  time.Duration
	compare string
	change  string
}

func newPolicyCommand() *policyCommand {
	c := &policyCommand{Subcommand: flaggy.NewSubcommand("policy"), seeds: 200, first: 1, length: 40 * time.Second}
	var names []string
	for _, v := range simulation.Variants() {
		names = append(names, v.Name)
	}
	c.Description = "compares the dispatch policy with variants on simulated days, paired by seed"
	c.Int(&c.seeds, "", "seeds", "number of days")
	c.UInt64(&c.first, "", "first", "seed of the first day")
	c.Duration(&c.length, "", "length", "simulated time of a day")
	c.String(&c.compare, "", "compare", "variants separated by commas, or all: "+strings.Join(names, ", "))
	c.String(&c.change, "", "change", "another variant: values of the policy that differ, as JSON")
	return c
}

func (c *policyCommand) run(w io.Writer) error {
	variants, err := c.variants()
	if err != nil {
		return err
	}
	if c.seeds < 2 || c.length < time.Second {
		return errors.New("--seeds must be at least 2 and --length at least 1s")
	}
	var done atomic.Int64
	total := c.seeds * (1 + len(variants))
	progress := func() {
		if n := done.Add(1); n%progressInterval == 0 {
			fmt.Fprintf(os.Stderr, "%d of %d days\n", n, total)
		}
	}
	play := func(p dispatch.Policy) []*simulation.Result {
		return simulation.PlayAll(c.first, c.seeds, c.length, p, progress)
	}
	base := play(dispatch.DefaultPolicy())
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "policy\tcredit\tserved\tfailed\tlate\trefused\theld before refusal\tretries\tbreaches\tcost")
	printRow(t, "default", base, nil)
	for _, v := range variants {
		p := dispatch.DefaultPolicy()
		v.Change(&p)
		printRow(t, v.Name, play(p), base)
	}
	fmt.Fprintln(t, "Variants are given as differences to the default, with the half width of the 95% interval. Credit, served, failed, late and refused are")
	fmt.Fprintln(t, "shares of what was asked, failed without failures of the application; held is in latency objectives, retries are per request, cost is processor time per request.")
	for _, r := range base {
		for _, b := range r.Breaches {
			fmt.Fprintf(t, "breach of the default on seed %d: %s\n", r.Seed, b)
		}
	}
	return t.Flush()
}

func (c *policyCommand) variants() ([]simulation.Variant, error) {
	var out []simulation.Variant
	if c.compare == "all" {
		out = simulation.Variants()
	} else if c.compare != "" {
		for name := range strings.SplitSeq(c.compare, ",") {
			v, ok := simulation.FindVariant(name)
			if !ok {
				return nil, fmt.Errorf("--compare: no variant %q", name)
			}
			out = append(out, v)
		}
	}
	if c.change != "" {
		changed, err := dispatch.ParsePolicy(c.change)
		if err != nil {
			return nil, fmt.Errorf("--change: %w", err)
		}
		out = append(out, simulation.Variant{Name: "change", Change: func(p *dispatch.Policy) { *p = changed }})
	}
	return out, nil
}

// printRow prints the figures of a policy, as differences if base is given.
func printRow(w io.Writer, name string, results, base []*simulation.Result) {
	perRequest := func(f func(*simulation.Result) int) func(*simulation.Result) float64 {
		return func(r *simulation.Result) float64 { return float64(f(r)) / float64(max(r.Requests, 1)) }
	}
	figures := []func(*simulation.Result) float64{
		(*simulation.Result).Credit, (*simulation.Result).ServedShare,
		perRequest(func(r *simulation.Result) int { return r.Failed - r.ApplicationFailures }),
		perRequest(func(r *simulation.Result) int { return r.Late }), perRequest(func(r *simulation.Result) int { return r.Refused }),
		(*simulation.Result).Held, perRequest(func(r *simulation.Result) int { return r.Retries }),
	}
	fmt.Fprint(w, name)
	for _, f := range figures {
		if base == nil {
			e := simulation.Mean(results, f)
			fmt.Fprintf(w, "\t%.4f ± %.4f", e.Mean, e.HalfWidth)
		} else {
			e := simulation.Difference(base, results, f)
			fmt.Fprintf(w, "\t%+.4f ± %.4f", e.Mean, e.HalfWidth)
		}
	}
	breaches := 0
	for _, r := range results {
		breaches += len(r.Breaches)
	}
	cost := simulation.Mean(results, func(r *simulation.Result) float64 { return float64(r.Cost()) })
	fmt.Fprintf(w, "\t%d\t%v\n", breaches, time.Duration(cost.Mean).Round(100*time.Nanosecond))
}
