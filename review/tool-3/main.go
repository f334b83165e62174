// Command tool-3 plays the scripts of the third review: instances as processes of the built
// program, and in this process stand-ins of the platform's store, of backend servers and of
// clients, all on loopback addresses.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// at returns a time as seconds since the start.
func (r *record) at(t time.Time) float64 { return t.Sub(r.start).Seconds() }

// play is one run of a case.
type play struct {
	*record
	store    *store
	fleet    *fleet
	backends []*backend
	// trouble is false if the disruption is left out.
	trouble bool
}

// cases are the cases by the name of their folder. Each returns an exit code.
var cases = map[string]func(p *play) int{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: tool-3 CASE FOLDER")
		os.Exit(cannotRun)
	}
	os.Exit(playCase(os.Args[1], os.Args[2]))
}

func playCase(name, folder string) int {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer func() { _ = file.Close() }()
	logs := os.Getenv("KEEP_LOGS")
	if logs == "" {
		if logs, err = os.MkdirTemp("", "review-3"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return cannotRun
		}
		defer func() { _ = os.RemoveAll(logs) }()
	}
	p := &play{record: &record{file: file, start: time.Now()}, trouble: os.Getenv("TROUBLE") != "0"}
	if p.store, err = startStore(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	p.fleet = &fleet{store: p.store, logs: logs}
	defer func() { p.fleet.killAll() }()
	code := cases[name](p)
	verdict := map[int]string{held: "the rule held", broken: "the rule was broken", cannotRun: "the case could not run"}[code]
	p.printf("%s (exit %d)", verdict, code)
	fmt.Printf("case %s, trouble %v: %s\n", name, p.trouble, verdict)
	return code
}

// startFleet starts n instances and waits until they are ready.
func (p *play) startFleet(n int) bool {
	f, err := newFleet(p.store, n, p.fleet.logs)
	if err != nil {
		p.printf("no fleet: %v", err)
		return false
	}
	p.fleet = f
	if err := f.startAll(); err != nil {
		p.printf("instances did not start: %v", err)
		return false
	}
	if !f.awaitReady(15 * time.Second) {
		p.printf("instances did not become ready")
		return false
	}
	p.printf("%d instances are ready", n)
	return true
}

// addBackends starts n backends of a service, spread over the zones.
func (p *play) addBackends(service string, n, slots int, workTime time.Duration) bool {
	for i := range n {
		b := &backend{id: fmt.Sprintf("i-%s-%d", service, i), service: service, zone: zones[i%len(zones)], slots: slots, workTime: workTime, phase: rand.N(beatInterval)}
		if err := b.start(p.store); err != nil {
			p.printf("no backend: %v", err)
			return false
		}
		p.backends = append(p.backends, b)
	}
	return true
}

// config is the operator's configuration. The tenant's rate and burst are in requests; a rate
// of 0 is no limit.
func (p *play) putConfig(version, rate, burst int) {
	p.store.put("keyed.op", "op/config", fmt.Appendf(nil, `{"version":%d,"routes":{"columns":["name","host","path-prefix","kind","timeout","target-latency","priority","service","max-attempts","public","traffic-split"],
"rows":[["r-book","shop.example","/book/","unsafe","2500ms","1000ms",1,"desk",2,false,null],["r-look","shop.example","/look/","safe","2000ms","1000ms",2,"board",2,false,null],["r-note","shop.example","/note/","unsafe","2000ms","1000ms",1,"board",2,false,null],["r-scan","shop.example","/scan/","download","15000ms","2000ms",2,"vault",2,false,null],["r-up","shop.example","/up/","upload","6000ms","1200ms",1,"intake",2,false,null]]},
"services":{"columns":["name","health-check-path","connection-limit","protocol","tls","cold-start","cold-per-s"],"rows":[["desk","/health",360,"h1",false,"3s",9.5],["board","/health",360,"h1",false,"3s",9.5],["intake","/health",390,"h1",false,"3s",9.5],["vault","/health",360,"h1",false,"3s",9.5]]},
"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout":"3000ms","idle-timeout":"15000ms"},
"tenants":{"columns":["name","api-keys","priority","rate-per-s","burst"],"rows":[["tenant-1",["key-1"],0,%d,%d]]}}`, version, rate, burst))
}
