// Command runner plays the cases of the review that cannot be put as a day of the bench:
// it starts instances as processes and holds the stand-ins of the platform's store, its
// load balancer, backend servers and clients. It exits with 1 if the rule of the case was
// broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"net/http/httptest"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// recorder writes what happened into a file.
type recorder struct {
	mu    sync.Mutex
	out   *os.File
	start time.Time
}

func (r *recorder) event(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) since(at time.Time) float64 { return at.Sub(r.start).Seconds() }

// summary writes to the record and to standard output.
func (r *recorder) summary(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
	r.event(format, args...)
}

func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	if running != nil {
		running.killAll()
	}
	os.Exit(2)
}

// longest is how long a case may take.
const longest = 115 * time.Second

// endEarly ends the processes if the case is stopped or takes too long.
func endEarly() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-stop:
		cannotRun("stopped")
	case <-time.After(longest):
		cannotRun("the case takes too long")
	}
}

// running is the fleet whose processes are to be ended.
var running *fleet

func main() {
	if len(os.Args) != 4 {
		cannotRun("usage: runner CASE PROGRAM RECORD")
	}
	name, program, record := os.Args[1], os.Args[2], os.Args[3]
	play := map[string]func(*env) bool{"replaced": replaced, "crowd": crowd, "leavers": leavers, "poison": poison, "larger": larger}[name]
	if play == nil {
		cannotRun("unknown case %q", name)
	}
	program, err := filepath.Abs(program)
	if err != nil {
		cannotRun("%v", err)
	}
	if _, err := os.Stat(program); err != nil {
		cannotRun("%v", err)
	}
	out, err := os.Create(record)
	if err != nil {
		cannotRun("%v", err)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		cannotRun("%v", err)
	}
	e := &env{trouble: os.Getenv("TROUBLE") != "0", store: newStore(), rec: &recorder{out: out, start: time.Now()}}
	server := httptest.NewServer(e.store)
	e.fleet = &fleet{program: program, dir: dir, storeAddress: strings.TrimPrefix(server.URL, "http://"), rec: e.rec}
	running = e.fleet
	go endEarly()
	held := play(e)
	e.fleet.killAll()
	for _, line := range e.fleet.coordinators() {
		_, _ = fmt.Fprintln(out, line)
	}
	_ = out.Close()
	_ = os.RemoveAll(dir)
	if !held {
		os.Exit(1)
	}
}

// env is what a case works with.
type env struct {
	trouble bool
	store   *store
	fleet   *fleet
	rec     *recorder
}
