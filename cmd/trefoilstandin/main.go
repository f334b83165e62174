// Command trefoilstandin runs stand-ins for the systems outside the fleet, for
// tests, the demo and measurements.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"trefoilstream.example/trefoilstream/internal/standin"
)

// options are the flags of all subcommands.
type options struct {
	listen, id, control, behaviour string
	serviceTime                    time.Duration
	servers, proxies               []string
}

func main() {
	o := options{listen: "127.0.0.1:0", id: "backend", behaviour: "{}"}
	p := flaggy.NewParser("trefoilstandin")
	p.Description = "stand-ins of outside systems"
	p.String(&o.listen, "", "listen", "address of the service, or of the control interface of fault proxies, host:port")
	commands := map[string]func(options) error{
		"log":        func(o options) error { return serve(o.listen, standin.NewLog().Handler()) },
		"instances":  func(o options) error { return serve(o.listen, (&standin.InstanceList{}).Handler()) },
		"backend":    runBackends,
		"faultproxy": runFaultProxies,
	}
	subs := make(map[string]*flaggy.Subcommand, len(commands))
	for name := range commands {
		subs[name] = flaggy.NewSubcommand(name)
		p.AttachSubcommand(subs[name], 1)
	}
	b := subs["backend"]
	b.Description = "one or more backend servers"
	b.String(&o.id, "", "id", "server ID, if only one server is run")
	b.Duration(&o.serviceTime, "", "service-time", "time of one request; overrides the behaviour")
	b.String(&o.control, "", "control", "address of the control interface, host:port")
	b.String(&o.behaviour, "", "behaviour", "behaviour at the start, as JSON")
	b.StringSlice(&o.servers, "", "server", "ID=host:port; may be repeated, and then replaces --id and --listen")
	subs["faultproxy"].StringSlice(&o.proxies, "", "proxy", "NAME=listen,target; may be repeated")
	if err := p.Parse(); err != nil {
		fatal(err)
	}
	for name, run := range commands {
		if subs[name].Used {
			fatal(run(o))
		}
	}
	p.ShowHelpAndExit("a subcommand is required")
}

// serve prints the listen address and serves a handler on it.
func serve(listen string, h http.Handler) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	fmt.Println(l.Addr())
	return http.Serve(l, h)
}

func runBackends(o options) error {
	var v standin.Behaviour
	d := json.NewDecoder(strings.NewReader(o.behaviour))
	d.DisallowUnknownFields()
	if err := d.Decode(&v); err != nil {
		return fmt.Errorf("behaviour: %w", err)
	}
	if o.serviceTime > 0 {
		v.ServiceMS = float64(o.serviceTime) / float64(time.Millisecond)
	}
	if err := v.Validate(); err != nil {
		return fmt.Errorf("behaviour: %w", err)
	}
	if len(o.servers) == 0 {
		o.servers = []string{o.id + "=" + o.listen}
	}
	servers := make(map[string]*standin.BackendServer)
	for _, text := range o.servers {
		id, address, ok := strings.Cut(text, "=")
		if !ok || servers[id] != nil {
			return fmt.Errorf("server %q: want ID=host:port with an ID that is not used yet", text)
		}
		s, err := standin.ListenBackend(address, standin.NewBackend(id, v, seedOf(id)))
		if err != nil {
			return err
		}
		servers[id] = s
		fmt.Println(id, s.Addr())
	}
	if o.control == "" {
		select {}
	}
	return serve(o.control, standin.BackendControl(servers))
}

// seedOf derives a random seed from a server ID, so that each server makes its
// own reproducible random choices.
func seedOf(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}

func runFaultProxies(o options) error {
	if len(o.proxies) == 0 {
		return errors.New("at least one --proxy is required")
	}
	proxies := make(map[string]*standin.FaultProxy)
	for _, text := range o.proxies {
		name, rest, named := strings.Cut(text, "=")
		listen, target, ok := strings.Cut(rest, ",")
		if !named || !ok || proxies[name] != nil {
			return fmt.Errorf("proxy %q: want NAME=listen,target with a name that is not used yet", text)
		}
		p, err := standin.NewFaultProxy(listen, target)
		if err != nil {
			return err
		}
		proxies[name] = p
		fmt.Println(name, p.Addr())
	}
	return serve(o.listen, standin.FaultProxyControl(proxies))
}

func fatal(err error) {
	fmt.Fprintln(os.Stderr, err)
	os.Exit(1)
}
