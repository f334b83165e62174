package ctl

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/rogpeppe/go-internal/testscript"

	"trefoilstream.example/trefoilstream/internal/logservice"
	"trefoilstream.example/trefoilstream/internal/node"
	"trefoilstream.example/trefoilstream/internal/settings"
	"trefoilstream.example/trefoilstream/internal/standin"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"trefoilctl": func() { os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr, os.Getenv)) },
	})
}

const scriptFleet = "fleet"

// fleet is a stand-in of the log service with the instances of one environment.
type fleet struct {
	log     *standin.Log
	url     string
	entries []string
	admins  []string
}

// startFleet runs instances in this process until the test ends.
func startFleet(env *testscript.Env, instances int) (*fleet, error) {
	f := &fleet{log: standin.NewLog()}
	srv := httptest.NewServer(f.log.Handler())
	f.url = srv.URL
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, instances)
	env.Defer(func() {
		cancel()
		for range instances {
			<-done
		}
		srv.Close()
	})
	operators := ""
	for _, name := range []string{"alice", "bob"} {
		operators += fmt.Sprintf("%s=%x,", name, sha256.Sum256([]byte(name+"-key")))
	}
	for i := range instances {
		s, err := settings.Parse([]string{
			"--instance-id", fmt.Sprintf("i-%d", i), "--failure-domain", "astoria", "--region", "lower-columbia",
			"--listen", freeAddress(env), "--peer-listen", freeAddress(env), "--admin-listen", freeAddress(env),
			"--log-url", srv.URL, "--instances-url", srv.URL, "--drain-wait", "0s",
			"--operator-keys", strings.TrimSuffix(operators, ","),
		}, func(string) string { return "" })
		if err != nil {
			return nil, err
		}
		n, err := node.New(s, logservice.NewLogClient(srv.URL), nil)
		if err != nil {
			return nil, err
		}
		go func() { done <- n.Run(ctx) }()
		f.entries, f.admins = append(f.entries, s.ListenAddress), append(f.admins, "http://"+s.AdminAddress)
	}
	for _, a := range f.admins {
		if err := waitForResponse(a); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func waitForResponse(url string) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if resp, err := client.Get(url); err == nil {
			return resp.Body.Close()
		}
	}
	return fmt.Errorf("%s does not respond", url)
}

func freeAddress(env *testscript.Env) string {
	address, err := standin.FreeAddress()
	if err != nil {
		env.T().Fatal(err)
	}
	return address
}

// Guards against wrong exit codes, secrets that are printed twice, and changes
// that are lost or applied twice. The scripts in testdata say which failure each
// part guards against.
func TestScripts(t *testing.T) {
	log.SetLevel(log.ErrorLevel)
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			f, err := startFleet(env, 2)
			if err != nil {
				return err
			}
			other, err := startFleet(env, 1)
			if err != nil {
				return err
			}
			env.Values[scriptFleet] = f
			env.Setenv("ADMIN", strings.Join(f.admins, ","))
			env.Setenv("ADMIN2", f.admins[1])
			env.Setenv("OTHER", other.admins[0])
			env.Setenv("ENTRY", "http://"+f.entries[0])
			env.Setenv("LOG", f.url)
			env.Setenv("DEAD", "http://127.0.0.1:1")
			env.Setenv(EnvAdmin, strings.Join(f.admins, ","))
			env.Setenv(EnvKey, "alice-key")
			// The race detector waits a second at the exit of each command.
			env.Setenv("GORACE", "atexit_sleep_ms=0")
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"exits": exits, "logfault": logFault, "status": status,
		},
	})
}

// exits runs a command and compares its exit code: exits CODE COMMAND ARG...
func exits(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	err = ts.Exec(args[1], args[2:]...)
	code := 0
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		code = exit.ExitCode()
	} else {
		ts.Check(err)
	}
	if code != want {
		ts.Fatalf("exit code %d, want %d", code, want)
	}
}

// logFault makes the log fail or recover: down, up, or drop N to lose the
// responses to the next N appends.
func logFault(ts *testscript.TestScript, _ bool, args []string) {
	log := ts.Value(scriptFleet).(*fleet).log
	switch args[0] {
	case "down":
		log.SetFaults(standin.LogFaults{Down: true})
	case "up":
		log.SetFaults(standin.LogFaults{})
	case "drop":
		n, err := strconv.Atoi(args[1])
		ts.Check(err)
		log.SetFaults(standin.LogFaults{DropAppendAnswers: n})
	}
}

// status requests a URL with a key and compares the status: status CODE URL KEY.
func status(ts *testscript.TestScript, _ bool, args []string) {
	req, err := http.NewRequest(http.MethodGet, args[1], nil)
	ts.Check(err)
	req.Header.Set("Authorization", "Bearer "+args[2])
	client := &http.Client{Timeout: 10 * time.Second}
	resp, err := client.Do(req)
	ts.Check(err)
	ts.Check(resp.Body.Close())
	if got := strconv.Itoa(resp.StatusCode); got != args[0] {
		ts.Fatalf("status %s, want %s", got, args[0])
	}
}
