package budget

import (
	"math"
	"time"
)

// requestsAfterAdmission returns the acquire requests that follow an admission:
// one in advance if half the target reserve is spent, and a report if the team's
// burst cannot wait for it.
func (l *Limiter) requestsAfterAdmission(now time.Time, tm Team, t *team, spentShard int) []AcquireRequest {
	target := t.targetReserve()
	missing := target - float64(t.reserve) - float64(t.tokensInFlight(now))
	if target >= 2 && missing > target/2 {
		if i := t.chooseShard(now, tm, false); i >= 0 && len(t.shards[i].inFlight) == 0 {
			return []AcquireRequest{l.newRequest(now, tm.ID, t, i, uint32(math.Ceil(missing)))}
		}
	}
	if t.reportDue(now, spentShard, true) {
		return []AcquireRequest{l.newRequest(now, tm.ID, t, spentShard, 0)}
	}
	return nil
}

// reportDue reports whether the spent tokens of a shard should be reported now
// rather than with the next acquire request. Unreported tokens keep the bucket
// from refilling, so the delay is at most an eighth of the fill time. justSpent is
// set right after a token was spent: if that used up the shard's tokens, the report
// is sent at once.
func (t *team) reportDue(now time.Time, shard int, justSpent bool) bool {
	s := &t.shards[shard]
	if s.unreported.IsZero() {
		return false
	}
	fill := t.limits.fillTime()
	if justSpent {
		return (fill < longFillTime || s.short) && (s.left() == 0 || now.Sub(s.unreported) >= fill/8)
	}
	if fill >= longFillTime && !s.short {
		return false
	}
	return now.Sub(s.unreported) >= min(maxReportDelay, fill/8)
}

func (s *shardState) left() uint32 {
	n := uint32(0)
	for i := range s.grants {
		n += s.grants[i].left
	}
	return n
}

// tokensInFlight returns the tokens wanted by acquire requests that are younger
// than hedgeAfter.
func (t *team) tokensInFlight(now time.Time) uint32 {
	n := uint32(0)
	for i := range t.shards {
		for _, f := range t.shards[i].inFlight {
			if now.Sub(f.sent) < hedgeAfter {
				n += f.want
			}
		}
	}
	return n
}

// requestsForWaiting returns the acquire requests for the waiting requests that
// those in flight do not cover. They also ask for the target reserve.
func (l *Limiter) requestsForWaiting(now time.Time, tm Team, t *team) []AcquireRequest {
	inFlight := t.tokensInFlight(now)
	if t.waiting <= inFlight {
		return nil
	}
	i := t.chooseShard(now, tm, true)
	if i < 0 {
		return nil
	}
	return []AcquireRequest{l.newRequest(now, tm.ID, t, i, t.waiting-inFlight+uint32(t.targetReserve()))}
}

// chooseShard returns the shard to send to, or -1. Shards that granted nothing or
// failed recently are left out. The preferred shard is used while its bucket is
// estimated to be at least half full; below that the fullest is, because a full
// bucket loses tokens while another is drained. A shard that failed a while ago
// comes last, and only if includeFailed is set.
func (t *team) chooseShard(now time.Time, tm Team, includeFailed bool) int {
	part := tm.Limits.Split(tm.Shards)
	retry, best, most := -1, -1, -1.0
	for k := range tm.Shards {
		i := (tm.PreferredShard + k) % tm.Shards
		s := &t.shards[i]
		if s.emptyUntil.After(now) || s.backoffUntil.After(now) || !s.mayRequest(now) {
			continue
		}
		if s.failed {
			if retry < 0 && includeFailed {
				retry = i
			}
			continue
		}
		level := part.Burst
		if !s.levelAt.IsZero() {
			level = min(level, s.level+part.Rate*now.Sub(s.levelAt).Seconds())
		}
		if k == 0 && level >= part.Burst/2 {
			return i
		}
		if level > most {
			best, most = i, level
		}
	}
	if best < 0 {
		return retry
	}
	return best
}

// mayRequest reports whether another acquire request may be sent beside those in
// flight. An overdue one suggests that the shard does not respond.
func (s *shardState) mayRequest(now time.Time) bool {
	n := 0
	for _, f := range s.inFlight {
		if f.want == 0 {
			continue
		}
		if now.Sub(f.sent) >= hedgeAfter {
			return false
		}
		n++
	}
	return n == 0 || n < maxInFlight && !s.short && !s.failed
}

func (l *Limiter) newRequest(now time.Time, id string, t *team, shard int, want uint32) AcquireRequest {
	l.sequence++
	s := &t.shards[shard]
	if want > 0 {
		want = min(want, max(1, uint32(math.Ceil(t.limits.Split(len(t.shards)).Burst))))
	}
	s.inFlight = append(s.inFlight, inFlightRequest{sequence: l.sequence, want: want, sent: now})
	return AcquireRequest{Team: id, Shard: shard, Sequence: l.sequence, Want: want, Uses: s.changedUses()}
}

// changedUses returns the uses that changed since they were last reported. Grants
// that are reported as used up are dropped. A report that is lost is not sent
// again: its tokens return to the bucket when the grant expires at the owner.
func (s *shardState) changedUses() []TokenUse {
	var list []TokenUse
	keep := s.grants[:0]
	for _, g := range s.grants {
		if g.changed {
			list = append(list, g.use)
			g.changed = false
		}
		if g.left > 0 {
			keep = append(keep, g)
		}
	}
	s.grants = keep
	s.unreported = time.Time{}
	return list
}
