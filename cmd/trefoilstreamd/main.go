// Command trefoilstreamd runs one instance of the proxy fleet.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/apex/log"
	jsonlog "github.com/apex/log/handlers/json"

	"trefoilstream.example/trefoilstream/internal/logservice"
	"trefoilstream.example/trefoilstream/internal/memory"
	"trefoilstream.example/trefoilstream/internal/node"
	"trefoilstream.example/trefoilstream/internal/settings"
	"trefoilstream.example/trefoilstream/internal/standin"
)

func main() {
	if len(os.Args) > 1 && os.Args[1] == "platform" {
		if err := runPlatform(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
		return
	}
	s, err := settings.FromProcess()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	log.SetHandler(jsonlog.New(os.Stderr))
	log.SetLevelFromString(s.LogLevel)
	if machine := s.MemoryBytes(); machine > 0 {
		debug.SetMemoryLimit(memory.CollectorLimit(machine))
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if s.Dev && s.LogURL == "" {
		if s.LogURL, err = startDevLog(); err != nil {
			log.WithField("event", "start_failed").WithError(err).Fatal("embedded log service not started")
		}
	}
	n, err := node.New(s, logservice.NewLogClient(s.LogURL), instanceList(s))
	if err != nil {
		log.WithField("event", "start_failed").WithError(err).Fatal("instance not started")
	}
	if err := n.Run(ctx); err != nil {
		log.WithField("event", "instance_failed").WithError(err).Fatal("instance failed")
	}
}

// instanceList returns the client of the instance list, or nil if none is set.
func instanceList(s *settings.Settings) logservice.InstanceList {
	if s.InstancesURL == "" {
		return nil
	}
	return logservice.NewInstanceListClient(s.InstancesURL)
}

// startDevLog serves an in-memory log service on a loopback port and returns its
// URL.
func startDevLog() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	url := "http://" + l.Addr().String()
	go func() { _ = http.Serve(l, standin.NewLog().Handler()) }()
	log.WithFields(log.Fields{"event": "dev_log_started", "url": url}).Info("embedded log service started")
	return url, nil
}
