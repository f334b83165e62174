// Package test holds tests of the whole fleet: they build the programs, run
// instances as processes against stand-ins on loopback, and inject faults.
package test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"trefoilstream.example/trefoilstream/internal/standin"
)

// binaries is the directory of the programs that TestMain builds.
var binaries string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "trefoilstream")
	if err != nil {
		panic(err)
	}
	binaries = dir
	build := exec.Command("go", "build", "-o", dir+"/", "../cmd/...")
	build.Stdout, build.Stderr = os.Stderr, os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := standin.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// start runs a program until the test ends.
func start(t *testing.T, program string, args ...string) *exec.Cmd {
	t.Helper()
	return startCommand(t, program, exec.Command(filepath.Join(binaries, program), args...))
}

// startLimited runs a program that may have so many descriptors open until the test ends.
func startLimited(t *testing.T, descriptors int, program string, args ...string) *exec.Cmd {
	t.Helper()
	limit := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, descriptors)
	return startCommand(t, program, exec.Command("/bin/sh", append([]string{"-c", limit, filepath.Join(binaries, program)}, args...)...))
}

func startCommand(t *testing.T, program string, cmd *exec.Cmd) *exec.Cmd {
	t.Helper()
	out, err := os.Create(filepath.Join(t.TempDir(), program+".log"))
	if err != nil {
		t.Fatal(err)
	}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		_ = out.Close()
		if t.Failed() {
			logTail(t, out.Name())
		}
	})
	return cmd
}

func logTail(t *testing.T, name string) {
	f, err := os.Open(name)
	if err != nil {
		return
	}
	defer func() { _ = f.Close() }()
	var lines []string
	for s := bufio.NewScanner(f); s.Scan(); {
		lines = append(lines, s.Text())
	}
	t.Logf("%s:\n%s", filepath.Base(name), strings.Join(lines[max(0, len(lines)-30):], "\n"))
}

// eventually fails the test if the condition does not hold within the limit.
func eventually(t *testing.T, limit time.Duration, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if cond() {
			return
		}
	}
	t.Fatalf("not within %v: %s", limit, what)
}

// get sends one GET request and returns status and body. Status 0 means that no
// response arrived; the body is then the error.
func get(address, path, key string) (int, string) {
	req, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return 0, err.Error()
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body)
}

func writeFile(t *testing.T, format string, args ...any) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "document.yaml")
	if err := os.WriteFile(name, fmt.Appendf(nil, format, args...), 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}
