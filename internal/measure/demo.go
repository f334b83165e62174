package measure

import (
	"context"
	"fmt"
	"io"
	"time"

	"trefoilstream.example/trefoilstream/internal/document"
	"trefoilstream.example/trefoilstream/internal/standin"
)

const (
	demoInstances = 3
	// demoServers is the number of backend servers per service.
	demoServers = 6
	// demoPerSecond is the load in requests per second.
	demoPerSecond = 120
)

// Demo runs a small fleet for about 20 s, lets a backend server fail, kills an
// instance, and writes what callers saw. It reports whether a guarantee was
// violated.
func Demo(ctx context.Context, o Options, w io.Writer) (violated bool, err error) {
	o.Document = limitServers(o.Document, demoServers)
	o.Instances, o.PerSecond = demoInstances, demoPerSecond
	printLine := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	printLine("starting the log service, the instance list, %d backend servers and %d instances", len(o.Document.Servers), o.Instances)
	fleet, err := StartFleet(ctx, FleetOptions{
		Binaries: o.Binaries, Logs: o.Logs, Document: o.Document, Instances: o.Instances,
		Behaviours: DefaultBehaviours(o.Document, o.Warm), Flags: o.Flags, DrainWait: time.Second,
	})
	defer func() { _ = fleet.Close() }()
	if err != nil {
		return false, err
	}
	for _, i := range fleet.Instances {
		printLine("  instance %s in %s serves callers at %s", i.ID, i.Domain, i.CallerAddress)
	}
	r := &run{Options: o, fleet: fleet, teams: o.Document.Teams, report: newReport(), series: Series{counts: make(map[string][]int64)}}
	r.load = NewLoad(fleet, r.teamLoads(), mix(o.Document), o.Seed)
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan struct{})
	go r.series.sample(loadCtx, fleet, r.load.Now)
	go func() { r.load.Run(loadCtx); close(done) }()
	printLine("%d teams send %.0f requests per second", len(o.Document.Teams), o.PerSecond)

	failing := r.serversOf(document.ClassLatency)[0]
	steps := []struct {
		name string
		do   func() error
		wait time.Duration
	}{
		{"the fleet has just started: instances acquire leases and servers ramp up", func() error { return nil }, 5 * time.Second},
		{"no faults", func() error { return nil }, 5 * time.Second},
		{"backend server " + failing + " fails every request but passes its probes", func() error {
			_, err := r.change(failing, func(b *standin.Behaviour) { b.ErrorRate, b.Probe = 1, "healthy" })
			return err
		}, 5 * time.Second},
		{"instance " + fleet.Instances[demoInstances-1].ID + " is killed as well", fleet.Instances[demoInstances-1].Kill, 6 * time.Second},
	}
	for _, s := range steps {
		printLine("%5.1f s  %s", r.load.Now().Seconds(), s.name)
		if err := s.do(); err != nil {
			return false, err
		}
		from := r.load.Now()
		if err := r.wait(ctx, s.wait); err != nil {
			return false, err
		}
		r.report.spans[s.name] = Span{from, r.load.Now()}
		r.report.order = append(r.report.order, s.name)
	}
	stop()
	<-done
	r.summary(printLine)
	return len(r.report.Violations) > 0, nil
}

// summary writes the results of each step and the violations found.
func (r *run) summary(printLine func(format string, args ...any)) {
	records := r.load.Records()
	printLine("")
	for _, name := range r.report.order {
		span := r.report.spans[name]
		s := EvaluateService(records, span, r.teams)
		printLine("%s:", name)
		printLine("  %d requests inside the teams' rates, %d answered, %d refused, %d failed", s.Requests, s.Good, s.Refused, s.Failed)
		if len(s.Kinds) > 0 {
			printLine("  %s", kinds(s.Kinds))
		}
		failing := r.serversOf(document.ClassLatency)[0]
		printLine("  %s got %d of %d look-ups", failing, r.series.between(failing, span.From, span.To), totalExecuted(&r.series, r.serversOf(document.ClassLatency), span))
	}
	executions := standin.SumExecutions(r.fleet.Servers)
	r.report.Violations = Violations(records, executions, r.fleet.Servers, r.teams)
	printLine("")
	printLine("%d non-idempotent requests ran, none may run twice", len(executions.Keys))
	if len(r.report.Violations) == 0 {
		printLine("no guarantee was violated")
	}
	const shown = 10
	for _, v := range r.report.Violations[:min(shown, len(r.report.Violations))] {
		printLine("VIOLATED GUARANTEE: %s", v)
	}
	if n := len(r.report.Violations); n > shown {
		printLine("%d violated guarantees in all", n)
	}
}

func totalExecuted(s *Series, servers []string, span Span) (n int64) {
	for _, id := range servers {
		n += s.between(id, span.From, span.To)
	}
	return n
}

// limitServers returns a copy of the document with only the first servers of each
// service.
func limitServers(d *document.Document, perService int) *document.Document {
	next := *d
	next.Servers = nil
	kept := make(map[string]int)
	for _, s := range d.Servers {
		if kept[s.Service]++; kept[s.Service] <= perService {
			next.Servers = append(next.Servers, s)
		}
	}
	return &next
}
