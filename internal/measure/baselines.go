package measure

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
)

// Baseline is an alternative configuration of the instances that the fleet is
// compared with.
type Baseline struct {
	Name  string
	Flags []string
	// Scenarios names the scenarios that are compared.
	Scenarios []string
}

// Baselines are the alternatives that the instances support through flags.
var Baselines = []Baseline{
	{"no ejection", []string{"--ejection", "none"}, []string{"errors", "stalls"}},
	{"local-only ejection", []string{"--ejection", "local"}, []string{"errors", "stalls", "bad requests of one team"}},
	{"static 1/N rates", []string{"--rates", "static"}, []string{"steady", "team above its rate"}},
}

// RunBaselines runs each baseline with the same load, seed and faults. It
// returns the reports by the name of the baseline.
func RunBaselines(ctx context.Context, o Options) (map[string]*Report, error) {
	reports := make(map[string]*Report)
	for _, b := range Baselines {
		if o.Progress != nil {
			_, _ = fmt.Fprintf(o.Progress, "baseline: %s\n", b.Name)
		}
		run := o
		run.Flags = append(append([]string(nil), o.Flags...), b.Flags...)
		run.Only = b.Scenarios
		report, err := Run(ctx, run)
		if err != nil {
			return reports, fmt.Errorf("baseline %s: %w", b.Name, err)
		}
		reports[b.Name] = report
	}
	return reports, nil
}

// CompareText writes a table of the fleet's results and those of the baselines.
func CompareText(w io.Writer, fleet *Report, baselines map[string]*Report) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "\nBaselines\tmedian detection\tp99\tnot detected\tfalse ejections\tnot served (errors, stalls)")
	row := func(name string, r *Report) {
		h := r.detectionTimes()
		missed, requests, bad := 0, 0, 0
		for _, d := range r.Detections {
			if d.Measurable && !d.Detected {
				missed++
			}
		}
		for _, s := range []string{"errors", "stalls"} {
			requests += r.Service[s].Requests
			bad += r.Service[s].Refused + r.Service[s].Failed
		}
		_, _ = fmt.Fprintf(t, "  %s\t%.2f s\t%.2f s\t%d of %d\t%d\t%.2f%%\n", name, float64(h.ValueAtQuantile(50))/1000,
			float64(h.ValueAtQuantile(99))/1000, missed, h.TotalCount(), len(r.FalseEjections), 100*share(bad, requests))
	}
	row("fleet", fleet)
	for _, b := range Baselines {
		if r, ok := baselines[b.Name]; ok {
			row(b.Name, r)
		}
	}
	return t.Flush()
}
