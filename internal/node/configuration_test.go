package node

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"

	"trefoilstream.example/trefoilstream/internal/document"
	"trefoilstream.example/trefoilstream/internal/errkind"
	"trefoilstream.example/trefoilstream/internal/journal"
	"trefoilstream.example/trefoilstream/internal/logservice"
	"trefoilstream.example/trefoilstream/internal/settings"
	"trefoilstream.example/trefoilstream/internal/standin"
)

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := standin.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// startNode runs an instance until the test ends.
func startNode(t *testing.T, id, logURL string) *Node {
	t.Helper()
	s, err := settings.Parse([]string{
		"--instance-id", id, "--failure-domain", "a", "--region", "r", "--listen", freeAddress(t),
		"--peer-listen", freeAddress(t), "--admin-listen", freeAddress(t),
		"--log-url", logURL, "--instances-url", logURL, "--drain-wait", "0s",
	}, func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	n, err := New(s, logservice.NewLogClient(logURL), nil)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("instance %s: %v", id, err)
		}
	})
	return n
}

func eventually(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if cond() {
			return
		}
	}
	t.Fatalf("not within 10 s: %s", what)
}

func startLog(t *testing.T) (*standin.Log, string) {
	log.SetLevel(log.ErrorLevel)
	l := standin.NewLog()
	srv := httptest.NewServer(l.Handler())
	t.Cleanup(srv.Close)
	return l, srv.URL
}

// publishTeam publishes one team as a child of a revision.
func publishTeam(n *Node, parent uint64, id string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	change := document.Change{Environment: "e", Upserts: document.Entities{Teams: []document.Team{{ID: id, Rate: 1, Burst: 1}}}}
	return n.Publish(ctx, &journal.Record{
		ID: uuid.NewString(), Kind: journal.KindRevision, TimeMS: time.Now().UnixMilli(),
		Revision: &journal.Revision{Number: parent + 1, Parent: parent, Author: id, Change: change},
	})
}

// Guards against two concurrent publications that both succeed, and against a
// wrong result reported to an operator, while the log loses half of the replies
// to appends.
func TestRacingOperatorsThroughInstances(t *testing.T) {
	standIn, url := startLog(t)
	nodes := []*Node{startNode(t, "i-1", url), startNode(t, "i-2", url), startNode(t, "i-3", url)}
	const rounds = 10
	for round := range uint64(rounds) {
		standIn.SetFaults(standin.LogFaults{DropAppendAnswers: 2})
		errs := make([]error, len(nodes))
		var group sync.WaitGroup
		for i, n := range nodes {
			group.Go(func() { errs[i] = publishTeam(n, round, fmt.Sprintf("op-%d", i)) })
		}
		group.Wait()
		winner := ""
		for i, err := range errs {
			switch {
			case err == nil && winner == "":
				winner = fmt.Sprintf("op-%d", i)
			case err == nil:
				t.Fatalf("round %d: two publications were reported as successful", round)
			case errkind.From(err).Kind != errkind.Conflict:
				t.Fatalf("round %d: %v", round, err)
			}
		}
		for _, n := range nodes {
			if err := n.Refresh(context.Background()); err != nil {
				t.Fatal(err)
			}
			if e := n.stateMachine.Entries(1); len(e) != 1 || e[0].Number != round+1 || e[0].Author != winner {
				t.Fatalf("round %d: %s holds %+v, winner %q", round, n.self.ID, e, winner)
			}
		}
	}
	for _, n := range nodes {
		eventually(t, "the configuration in force catches up", func() bool { return n.state.Config().Revision == rounds })
	}
}

// Guards against a fleet that can't start new instances once the log has dropped
// its first records.
func TestNewInstanceStartsFromSnapshot(t *testing.T) {
	standIn, url := startLog(t)
	first := startNode(t, "i-1", url)
	eventually(t, "the first instance has joined", func() bool { return first.mayPublishSnapshot() })
	for parent := range uint64(5) {
		if err := publishTeam(first, parent, fmt.Sprintf("team-%d", parent)); err != nil {
			t.Fatal(err)
		}
	}
	if err := first.publishSnapshot(context.Background()); err != nil {
		t.Fatal(err)
	}
	// Keeps the last revisions, the snapshot and room for the join record of
	// i-2; the first revisions and the join record of i-1 are dropped.
	standIn.SetFaults(standin.LogFaults{Keep: 4})
	second := startNode(t, "i-2", url)
	eventually(t, "the new instance holds the configuration and the roster", func() bool {
		return second.state.Config().Revision == 5 && len(second.state.Config().Teams) == 5 && len(second.state.Roster().Members()) == 2
	})
	if err := publishTeam(second, 5, "team-5"); err != nil {
		t.Fatal(err)
	}
	eventually(t, "both hold the same state", func() bool {
		a, _ := first.stateMachine.Digest()
		b, _ := second.stateMachine.Digest()
		return a == b && first.state.Config().Revision == 6
	})
}
