package delivery

import "time"

// Limits bound how long Close waits for a peer.
type Limits struct {
	// Linger is how long the peer may take to close its side, from when it has acknowledged
	// everything. It may not have read all that its kernel has received.
	Linger time.Duration
	// PieceBytes is what the peer has to acknowledge in each PieceTimeout, or else the rest.
	PieceBytes   int
	PieceTimeout time.Duration
}

// CallerLimits are those for connections of callers.
var CallerLimits = Limits{Linger: 500 * time.Millisecond, PieceBytes: 32 << 10, PieceTimeout: 30 * time.Second}

type verdict string

const (
	waiting verdict = "waiting"
	done    verdict = "done"
	givenUp verdict = "given_up"
)

// wait decides when a connection may be closed to which nothing more is written.
type wait struct {
	limits Limits
	// left is what was unacknowledged at since, when the current piece began.
	left  int
	since time.Time
	// acknowledged is when everything was; zero before that.
	acknowledged time.Time
}

func newWait(l Limits, now time.Time, left int) *wait {
	return &wait{limits: l, left: left, since: now}
}

// next returns what to do if left bytes are unacknowledged. Over says that nothing more is read of
// the peer, so that there is nothing to linger for.
func (w *wait) next(now time.Time, left int, over bool) verdict {
	if left == 0 {
		if w.acknowledged.IsZero() {
			w.acknowledged = now
		}
		if over || now.Sub(w.acknowledged) >= w.limits.Linger {
			return done
		}
		return waiting
	}
	if w.left-left >= w.limits.PieceBytes {
		w.left, w.since = left, now
	}
	if now.Sub(w.since) >= w.limits.PieceTimeout {
		return givenUp
	}
	return waiting
}
