package fleet

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"trefoilstream.example/trefoilstream/internal/catalog"
	"trefoilstream.example/trefoilstream/internal/peerpb"
)

const (
	// directoryPollInterval is the time between reads of the server directory. A
	// leaving server must be noticed within two seconds, even if a read fails.
	directoryPollInterval = 400 * time.Millisecond
	// operatorPollWait is the long-poll time for reads of the operators' topic.
	// If the store stops responding during a read, changes are missed until the
	// read times out, which takes longer with a longer wait.
	operatorPollWait = time.Second
	// minReadRetryDelay and maxReadRetryDelay bound the backoff after failed reads.
	minReadRetryDelay = 50 * time.Millisecond
	maxReadRetryDelay = 500 * time.Millisecond
	// firstReadTimeout bounds the read before a coordinator accepts members, which
	// all wait for it.
	firstReadTimeout = 250 * time.Millisecond
)

// hedgedReads is the number of other instances that read the directory in
// parallel while the store does not respond to this one. With one at a time, and a
// third of the instances cut off too, a change takes more than 2 s to take effect.
const hedgedReads = 3

// storeReader reads the store for the coordinator. If the store does not respond
// to this instance, other instances relay the calls.
type storeReader struct {
	coordinator *coordinator
	// operators follows the operators' topic.
	operators follower
	// operatorReadAt is when the operators' topic was last read; nil if never.
	operatorReadAt atomic.Pointer[time.Time]

	mu sync.Mutex
	// relay is the address of the instance that relays calls; "" means calls
	// are made directly.
	relay        string
	failures     int
	failingSince time.Time
	// relayChanged is closed when relay changes.
	relayChanged chan struct{}
	// era is the highest era that the store has named.
	era uint64
}

func newStoreReader(c *coordinator) *storeReader {
	return &storeReader{coordinator: c, operators: newFollower(c.fleet.replica.era()), relayChanged: make(chan struct{})}
}

func (c *coordinator) readStore(ctx context.Context) {
	r := c.reader
	var wg sync.WaitGroup
	wg.Go(func() { r.pollOperator(ctx) })
	wg.Go(func() { r.pollDirectory(ctx) })
	wg.Wait()
}

func (r *storeReader) pollDirectory(ctx context.Context) {
	directory := newFollower(r.coordinator.fleet.replica.era())
	for ctx.Err() == nil {
		from := directory.next(time.Now())
		result := r.readDirectoryHedged(ctx, r.readRelays(), from)
		if result.err != nil {
			r.recordFailure(ctx, result.relay, result.err)
			continue
		}
		r.recordSuccess(result.relay)
		directory.advance(time.Now(), from, result.changes, result.next)
		r.coordinator.applyChanges(result.changes)
		r.coordinator.noteSettled(directoryTopic, directory.settled(time.Now()))
		sleep(ctx, directoryPollInterval)
	}
}

// topicRead is the result of a read of a topic.
type topicRead struct {
	relay   string
	changes []catalog.Change
	next    Position
	err     error
}

// readDirectoryHedged reads the directory through several instances in parallel.
func (r *storeReader) readDirectoryHedged(ctx context.Context, relays []string, from Position) topicRead {
	callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	return r.readHedged(callCtx, relays, func(ctx context.Context, call StoreCaller) ([]catalog.Change, Position, error) {
		return r.coordinator.fleet.opts.Source.Servers(ctx, call, from)
	})
}

// readHedged makes a read through several instances in parallel and returns the
// first success, or the last failure.
func (r *storeReader) readHedged(ctx context.Context, relays []string, read func(context.Context, StoreCaller) ([]catalog.Change, Position, error)) topicRead {
	results := make(chan topicRead, len(relays))
	for _, relay := range relays {
		go func() {
			changes, next, err := read(ctx, r.callerVia(relay))
			results <- topicRead{relay: relay, changes: changes, next: next, err: err}
		}()
	}
	var last topicRead
	for range relays {
		if last = <-results; last.err == nil {
			return last
		}
	}
	return last
}

// readRelays returns the relays for the next read of the directory: the current
// one or, after a failure, several and a direct call.
func (r *storeReader) readRelays() []string {
	r.mu.Lock()
	relay, failures := r.relay, r.failures
	r.mu.Unlock()
	if failures == 0 {
		return []string{relay}
	}
	return append(r.coordinator.sampleRelays(hedgedReads), "")
}

// readOperatorFirst reads what operators have published before this coordinator
// accepts members: its predecessor may have been lost before a change was sent to this
// instance. If no read succeeds within firstReadTimeout, it goes on with what is known.
func (r *storeReader) readOperatorFirst(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, firstReadTimeout)
	defer cancel()
	from := r.operators.from
	read := r.readHedged(callCtx, append(r.coordinator.sampleRoster(hedgedReads), ""), func(ctx context.Context, call StoreCaller) ([]catalog.Change, Position, error) {
		return r.coordinator.fleet.opts.Source.Operator(ctx, call, from, 0)
	})
	if read.err != nil {
		log.WithField("event", "store_unavailable").WithError(read.err).Warn("could not read the operators' changes before the first permit")
		return
	}
	r.operators.advance(time.Now(), from, read.changes, read.next)
	r.coordinator.applyChanges(read.changes)
	r.recordOperatorRead()
}

// recordOperatorRead notes that all that operators published until now is known.
func (r *storeReader) recordOperatorRead() {
	now := time.Now()
	r.operatorReadAt.Store(&now)
}

// configReadAt returns when the operators' topic was last read; zero if never.
func (r *storeReader) configReadAt() time.Time {
	if at := r.operatorReadAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

func (r *storeReader) pollOperator(ctx context.Context) {
	for ctx.Err() == nil {
		relay, caller, changed := r.currentCaller()
		wait := operatorPollWait
		callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout+wait)
		stop := make(chan struct{})
		go func() {
			select {
			case <-changed:
				cancel()
			case <-stop:
			}
		}()
		from := r.operators.next(time.Now())
		changes, next, err := r.coordinator.fleet.opts.Source.Operator(callCtx, caller, from, wait)
		close(stop)
		cancel()
		if err != nil {
			if current, _, _ := r.currentCaller(); current == relay {
				r.recordFailure(ctx, relay, err)
			}
			continue
		}
		r.operators.advance(time.Now(), from, changes, next)
		if isOutdated(changes) {
			r.coordinator.noteRecordsLost()
		}
		r.coordinator.applyChanges(changes)
		r.coordinator.noteSettled(operatorTopic, r.operators.settled(time.Now()))
		r.recordOperatorRead()
	}
}

// currentCaller returns the current relay, its caller, and a channel that is
// closed when the relay changes.
func (r *storeReader) currentCaller() (string, StoreCaller, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.relay, r.callerVia(r.relay), r.relayChanged
}

// callerVia returns a caller that goes through a relay; "" means directly.
func (r *storeReader) callerVia(relay string) StoreCaller {
	if relay == "" {
		return &eraObserver{reader: r, caller: r.coordinator.fleet.opts.Store}
	}
	return &eraObserver{reader: r, caller: &relayCaller{fleet: r.coordinator.fleet, address: relay}}
}

// recordFailure switches to another relay and backs off exponentially.
func (r *storeReader) recordFailure(ctx context.Context, relay string, err error) {
	r.mu.Lock()
	if r.failures == 0 {
		r.failingSince = time.Now()
		log.WithFields(log.Fields{"event": "store_unavailable", "through": relay}).WithError(err).Warn("could not read the store")
	}
	r.failures++
	if others := r.coordinator.sampleRelays(1); len(others) > 0 {
		r.switchRelay(others[0])
	}
	delay := min(minReadRetryDelay<<min(r.failures-1, 5), maxReadRetryDelay)
	r.mu.Unlock()
	sleep(ctx, delay)
}

// recordSuccess resets the backoff and keeps the relay that succeeded.
func (r *storeReader) recordSuccess(relay string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failures > 0 {
		log.WithFields(log.Fields{"event": "store_available", "through": relay, "failures": r.failures, "away_ms": time.Since(r.failingSince).Milliseconds()}).Info("store can be read again")
	}
	r.failures = 0
	r.switchRelay(relay)
}

// switchRelay makes further calls through a relay and cancels calls pending
// through the previous one. The caller holds mu.
func (r *storeReader) switchRelay(relay string) {
	if relay == r.relay {
		return
	}
	r.relay = relay
	close(r.relayChanged)
	r.relayChanged = make(chan struct{})
}

// sampleRelays returns up to n random members other than this instance.
func (c *coordinator) sampleRelays(n int) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var candidates []string
	for address, session := range c.sessions {
		if address != c.fleet.opts.Self.Address && !session.leaving {
			candidates = append(candidates, address)
		}
	}
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:min(n, len(candidates))]
}

// sampleRoster returns up to n random instances of the roster other than this one.
// They may relay calls before they are members.
func (c *coordinator) sampleRoster(n int) []string {
	peers := c.fleet.replica.rosterWithout(c.fleet.opts.Self.Address)
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	out := make([]string, 0, n)
	for _, p := range peers[:min(n, len(peers))] {
		out = append(out, p.Address)
	}
	return out
}

// relayCaller makes store calls that another instance relays.
type relayCaller struct {
	fleet   *Fleet
	address string
}

// Call implements StoreCaller.
func (r *relayCaller) Call(ctx context.Context, c StoreCall) (StoreAnswer, error) {
	conn := r.fleet.peerConns.get(ctx, r.address)
	answer, err := peerpb.NewDRPCCoordinationClient(conn).Relay(ctx, &peerpb.StoreCall{
		Method: c.Method, Path: c.Path, Body: c.Body, WaitMs: uint32(c.Wait.Milliseconds()),
	})
	if err != nil {
		return StoreAnswer{}, err
	}
	return StoreAnswer{Status: int(answer.Status), Body: answer.Body, Era: answer.Era}, nil
}
