// Package memory bounds the memory that a process holds for its callers. An Account is shared
// by all connections; what is held for one of them, such as a body that is being read, is a
// Holder. When memory is short, the holders that hold most and move least give way.
package memory

import (
	"errors"
	"math"
	"slices"
	"sync"
	"time"
)

// ErrShort says that the account has no memory left for a reservation.
var ErrShort = errors.New("memory for callers is used up")

const (
	// smallBytes is up to which size a holder may use the part of the account that is kept
	// for small ones.
	smallBytes = 256 << 10
	// evictionTimeout bounds the wait for evicted holders to release their memory.
	evictionTimeout = 2 * time.Second
	// noticeInterval is the least time between two notices of a shortage.
	noticeInterval = time.Second
)

// Limits are those of an account, in bytes.
type Limits struct {
	// Total bounds all holders together.
	Total int64
	// Large bounds the reservations of holders above smallBytes, unless all others are small:
	// the rest of Total is kept for small ones.
	Large int64
}

// Shortage describes an account that had no memory left for a reservation.
type Shortage struct {
	Limits Limits
	// Used is in bytes.
	Used int64
	// Evicted and Refused count holders and reservations since the last notice.
	Evicted, Refused int
}

// Account counts the bytes that its holders hold. Its methods and those of its holders may be
// called by several goroutines.
type Account struct {
	limits Limits
	notice func(Shortage)

	mu   sync.Mutex
	used int64
	// large is the sum of the holders above smallBytes.
	large int64
	// evictable holds the holders that may be asked to give way.
	evictable map[*Holder]struct{}
	// released is closed when a reservation that waits for memory must look again.
	released chan struct{}
	shortage Shortage
	noticed  time.Time
}

// NewAccount returns an account. Notice, if it is not nil, is called at most once a second
// while memory is short.
func NewAccount(l Limits, notice func(Shortage)) *Account {
	return &Account{limits: l, notice: notice, evictable: make(map[*Holder]struct{})}
}

// Limits returns the limits of the account. Those of a nil account bound nothing.
func (a *Account) Limits() Limits {
	if a == nil {
		return Limits{Total: math.MaxInt64, Large: math.MaxInt64}
	}
	return a.limits
}

// Used returns the bytes that all holders hold.
func (a *Account) Used() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used
}

// Holder is something that holds memory for a caller. The methods of a nil holder count
// nothing and refuse nothing.
type Holder struct {
	account *Account
	evict   func() bool
	// The fields below are guarded by the account's mutex.

	held int64
	// moved is when the holder last made progress.
	moved time.Time
	// asked is set once the holder was asked to give way, until it holds nothing.
	asked bool
	// evictable is set while the holder may be asked to give way.
	evictable bool
}

// NewHolder returns a holder that holds nothing. Evict, if it is not nil, is called when memory
// is short. It makes the holder release all that it holds soon and returns true, or returns
// false if that cannot be done. It must not call methods of the account or of a holder.
//
// A nil account has nil holders.
func (a *Account) NewHolder(evict func() bool) *Holder {
	if a == nil {
		return nil
	}
	return &Holder{account: a, evict: evict, evictable: true}
}

// SetEvictable says whether the holder may be asked to give way. A new one may.
func (h *Holder) SetEvictable(evictable bool) {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.evictable = evictable
	h.account.list(h)
}

// Moved notes that the holder has made progress.
func (h *Holder) Moved(now time.Time) {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.moved = now
}

// TryReserve reserves n bytes, in addition to what the holder holds, if they are left. It
// evicts nobody.
func (h *Holder) TryReserve(n int64, now time.Time) bool {
	if h == nil {
		return true
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return h.account.reserve(h, n, now)
}

// Reserve reserves n bytes. If they are not left, it evicts holders that hold more, or have
// held it for longer without progress, and waits until they have released their memory. The
// error is ErrShort.
func (h *Holder) Reserve(n int64) error {
	if h == nil {
		return nil
	}
	a := h.account
	var timeout <-chan time.Time
	for {
		now := time.Now()
		a.mu.Lock()
		if a.reserve(h, n, now) {
			a.mu.Unlock()
			return nil
		}
		asked := h.asked
		candidates, leaving := a.candidates(h, n, now)
		enough := leaving >= a.used+n-a.limitFor(h, n)
		released := a.awaitRelease()
		a.mu.Unlock()
		if asked || !enough && !a.evictFirst(candidates) && leaving == 0 {
			a.refused(now)
			return ErrShort
		}
		if timeout == nil {
			t := time.NewTimer(evictionTimeout)
			defer t.Stop()
			timeout = t.C
		}
		select {
		case <-released:
		case <-timeout:
			a.refused(now)
			return ErrShort
		}
	}
}

// Release releases n bytes.
func (h *Holder) Release(n int64) {
	if h == nil || n == 0 {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.account.add(h, -n)
}

// ReleaseAll releases all that the holder holds.
func (h *Holder) ReleaseAll() {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.account.add(h, -h.held)
}

// MoveTo moves all that the holder holds to another one, and returns how much that is.
func (h *Holder) MoveTo(to *Holder) int64 {
	if h == nil {
		return 0
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	n := h.held
	h.account.add(h, -n)
	h.account.add(to, n)
	return n
}

// reserve adds n bytes to a holder if they are left. The caller holds mu.
func (a *Account) reserve(h *Holder, n int64, now time.Time) bool {
	if a.used+n > a.limitFor(h, n) {
		return false
	}
	h.moved = now
	a.add(h, n)
	return true
}

// limitFor returns what all holders may hold together after n more bytes were reserved for one.
// The caller holds mu.
func (a *Account) limitFor(h *Holder, n int64) int64 {
	if h.held+n > smallBytes && a.large > h.largePart() {
		return a.limits.Large
	}
	return a.limits.Total
}

// largePart returns what the holder adds to the sum of large holders.
func (h *Holder) largePart() int64 {
	if h.held > smallBytes {
		return h.held
	}
	return 0
}

// add adds n bytes, which may be negative, to a holder. The caller holds mu.
func (a *Account) add(h *Holder, n int64) {
	a.large -= h.largePart()
	h.held += n
	a.used += n
	a.large += h.largePart()
	if h.held == 0 {
		h.asked = false
	}
	a.list(h)
	if n < 0 {
		a.wake()
	}
}

// wake wakes the reservations that wait. The caller holds mu.
func (a *Account) wake() {
	if a.released != nil {
		close(a.released)
		a.released = nil
	}
}

// list adds a holder to the evictable ones, or removes it. The caller holds mu.
func (a *Account) list(h *Holder) {
	if h.evict != nil && h.evictable && h.held > 0 {
		a.evictable[h] = struct{}{}
	} else {
		delete(a.evictable, h)
	}
}

// awaitRelease returns a channel that is closed when memory is released, or when a holder was
// asked to give way, which may be the one that waits. The caller holds mu.
func (a *Account) awaitRelease() <-chan struct{} {
	if a.released == nil {
		a.released = make(chan struct{})
	}
	return a.released
}

// candidates returns the holders that give way to a reservation, the first one first, and what
// those hold that were asked already. The caller holds mu.
func (a *Account) candidates(h *Holder, n int64, now time.Time) (list []candidate, leaving int64) {
	least := weight(h.held+n, 0)
	for other := range a.evictable {
		switch w := weight(other.held, now.Sub(other.moved)); {
		case other == h:
		case other.asked:
			leaving += other.held
		case w > least:
			list = append(list, candidate{other, w})
		}
	}
	slices.SortFunc(list, func(x, y candidate) int {
		if x.weight > y.weight {
			return -1
		}
		return 1
	})
	return list, leaving
}

type candidate struct {
	holder *Holder
	weight float64
}

// weight orders holders by what they cost the others: bytes times seconds without progress. The
// second that is added makes those that move give way by their size.
func weight(held int64, idle time.Duration) float64 {
	return float64(held) * (1 + max(0, idle.Seconds()))
}

// evictFirst asks the first candidate to give way that can.
func (a *Account) evictFirst(list []candidate) bool {
	for _, c := range list {
		if !c.holder.evict() {
			continue
		}
		a.mu.Lock()
		c.holder.asked = c.holder.held > 0
		a.shortage.Evicted++
		a.wake()
		a.mu.Unlock()
		return true
	}
	return false
}

func (a *Account) refused(now time.Time) {
	a.mu.Lock()
	a.shortage.Refused++
	if a.notice == nil || now.Sub(a.noticed) < noticeInterval {
		a.mu.Unlock()
		return
	}
	s := a.shortage
	s.Limits, s.Used = a.limits, a.used
	a.shortage, a.noticed = Shortage{}, now
	a.mu.Unlock()
	a.notice(s)
}
