package node

import (
	"context"
	"time"
)

const (
	// logPollWait is the long-poll duration of one log read.
	logPollWait = 250 * time.Millisecond
	// logReadLimit is the maximum number of records of one log read.
	logReadLimit = 1000
	// logRetryDelay is the pause after a failed read or append.
	logRetryDelay = 250 * time.Millisecond
)

// followLog applies the records of the log until the context is done.
func (n *Node) followLog(ctx context.Context) error {
	for ctx.Err() == nil {
		startedAt := time.Now()
		page, err := n.log.Read(ctx, n.stateMachine.Offset(), logPollWait, logReadLimit)
		if err != nil {
			sleep(ctx, logRetryDelay)
			continue
		}
		synced := n.applyPage(page)
		n.members.relay.store(page.Records)
		if synced {
			n.members.logRead(startedAt)
		}
	}
	return ctx.Err()
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
