package losses

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// maxRows bounds each table but that of the seconds.
const maxRows = 20

// Print prints the account as tables: by effect and cause, by route, by what was believed
// of the server, and by second.
func (a *Account) Print(w io.Writer) error {
	if len(a.Losses) == 0 {
		_, err := fmt.Fprintf(w, "no losses, %d lines dropped\n", a.Dropped)
		return err
	}
	from, to := a.Span()
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintf(t, "%d losses from %s to %s, %d log lines dropped\n", len(a.Losses), from.Format(time.RFC3339Nano), to.Format(time.RFC3339Nano), a.Dropped)
	a.printGroups(t, "effect\tcause", func(l *Loss) string { return string(l.Effect) + "\t" + l.Cause })
	a.printGroups(t, "route\teffect", func(l *Loss) string { return l.Route + "\t" + string(l.Effect) })
	a.printGroups(t, "choice\teffect\tprobability of failure\tlast outcome", func(l *Loss) string {
		if l.Choice == "" {
			return "none\t" + string(l.Effect) + "\t\t"
		}
		return fmt.Sprintf("%s\t%s\t%s\t%s", l.Choice, l.Effect, probabilityRange(l.FailureProbability), ageRange(l.OutcomeAge))
	})
	const step = time.Second
	start, counts := a.Series(step)
	effects := []Effect{Failed, Held, Refused, Late}
	fmt.Fprint(t, "\nsecond")
	for _, e := range effects {
		fmt.Fprintf(t, "\t%s", e)
	}
	fmt.Fprintln(t)
	for i := range int(to.Sub(start)/step) + 1 {
		row, sum := "", 0
		for _, e := range effects {
			n := 0
			if counts[e] != nil {
				n = counts[e][i]
			}
			row += fmt.Sprintf("\t%d", n)
			sum += n
		}
		if sum > 0 {
			fmt.Fprintln(t, start.Add(time.Duration(i)*step).Format(time.TimeOnly)+row)
		}
	}
	return t.Flush()
}

// printGroups prints how many losses share a key, with an example.
func (a *Account) printGroups(w io.Writer, head string, key func(*Loss) string) {
	type group struct {
		key     string
		count   int
		example string
	}
	groups := make(map[string]*group)
	for i := range a.Losses {
		l := &a.Losses[i]
		g := groups[key(l)]
		if g == nil {
			g = &group{key: key(l), example: l.Request}
			groups[g.key] = g
		}
		g.count++
	}
	var sorted []*group
	for _, g := range groups {
		sorted = append(sorted, g)
	}
	slices.SortFunc(sorted, func(a, b *group) int {
		return cmp.Or(cmp.Compare(b.count, a.count), cmp.Compare(a.key, b.key))
	})
	fmt.Fprintf(w, "\nrequests\t%s\texample\n", head)
	for i, g := range sorted {
		if i == maxRows {
			fmt.Fprintf(w, "(and %d more rows)\n", len(sorted)-i)
			break
		}
		fmt.Fprintf(w, "%d\t%s\t%s\n", g.count, g.key, g.example)
	}
}

func probabilityRange(p float64) string {
	for _, limit := range []float64{0.01, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8} {
		if p < limit {
			return fmt.Sprintf("below %g", limit)
		}
	}
	return "0.8 or more"
}

func ageRange(d time.Duration) string {
	if d < 0 {
		return "none"
	}
	for _, limit := range []time.Duration{50 * time.Millisecond, 200 * time.Millisecond, time.Second, 5 * time.Second} {
		if d < limit {
			return "within " + limit.String()
		}
	}
	return "5s ago or more"
}
