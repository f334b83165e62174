package memory

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"
)

var testLimits = Limits{Total: 16 << 20, Large: 12 << 20}

// evictableHolder returns a holder that releases all when it is asked to give way.
func evictableHolder(a *Account, evicted *atomic.Int32) *Holder {
	var h *Holder
	h = a.NewHolder(func() bool {
		evicted.Add(1)
		go h.ReleaseAll()
		return true
	})
	return h
}

func reserve(t *testing.T, h *Holder, n int64) {
	t.Helper()
	if err := h.Reserve(n); err != nil {
		t.Fatalf("%d bytes: %v", n, err)
	}
}

// Guards against an account that is exceeded, and against memory that stays counted.
func TestAccountBoundsItsHolders(t *testing.T) {
	a := NewAccount(testLimits, nil)
	var wg sync.WaitGroup
	var most atomic.Int64
	for range 64 {
		wg.Go(func() {
			h, other := a.NewHolder(nil), a.NewHolder(nil)
			for range 200 {
				_ = h.TryReserve(1<<20, time.Now())
				if used := a.Used(); used > most.Load() {
					most.Store(used)
				}
				_ = h.TryReserve(1<<18, time.Now())
				h.MoveTo(other)
				other.ReleaseAll()
			}
		})
	}
	wg.Wait()
	if most.Load() > testLimits.Total || a.Used() != 0 || a.large != 0 {
		t.Errorf("at most %d bytes were held of %d; %d (%d large) are counted in the end", most.Load(), testLimits.Total, a.Used(), a.large)
	}
}

// Guards against refusing the one that comes next, while others hold much and do not move.
func TestThoseThatHoldMostAndMoveLeastGiveWay(t *testing.T) {
	a := NewAccount(testLimits, nil)
	var idle, moving, small atomic.Int32
	long := time.Now().Add(-10 * time.Second)
	stalled, upload, kept := evictableHolder(a, &idle), evictableHolder(a, &moving), evictableHolder(a, &small)
	reserve(t, stalled, 5<<20)
	reserve(t, upload, 6<<20)
	reserve(t, kept, 64<<10)
	stalled.Moved(long)
	kept.Moved(long)
	reserve(t, a.NewHolder(nil), 4<<20)
	if idle.Load() != 1 || moving.Load() != 0 || small.Load() != 0 {
		t.Errorf("evicted: stalled %d, moving %d, small %d; want only the stalled one", idle.Load(), moving.Load(), small.Load())
	}
}

// Guards against large requests that take what is kept for small ones, and against a limit
// that leaves a single large request less than the account has.
func TestMemoryIsKeptForSmallOnes(t *testing.T) {
	a := NewAccount(testLimits, nil)
	one := a.NewHolder(nil)
	reserve(t, one, testLimits.Total)
	one.ReleaseAll()
	for range 12 {
		reserve(t, a.NewHolder(nil), 1<<20)
	}
	if err := a.NewHolder(nil).Reserve(1 << 20); !errors.Is(err, ErrShort) {
		t.Errorf("a large holder gets what is kept for small ones: %v", err)
	}
	for range 16 {
		reserve(t, a.NewHolder(nil), smallBytes)
	}
	if err := a.NewHolder(nil).Reserve(1); !errors.Is(err, ErrShort) {
		t.Errorf("the account is exceeded: %v", err)
	}
}

// Guards against asking a holder that cannot give way for ever, and against a shortage that
// nobody is told of.
func TestHoldersThatCannotGiveWay(t *testing.T) {
	notices := make(chan Shortage, 1)
	a := NewAccount(testLimits, func(s Shortage) { notices <- s })
	busy, closed := a.NewHolder(func() bool { return false }), a.NewHolder(func() bool { return true })
	reserve(t, busy, 6<<20)
	reserve(t, closed, 6<<20)
	closed.SetEvictable(false)
	for _, h := range []*Holder{busy, closed} {
		h.Moved(time.Now().Add(-time.Minute))
	}
	if err := a.NewHolder(nil).Reserve(1 << 20); !errors.Is(err, ErrShort) {
		t.Fatalf("%v, want ErrShort", err)
	}
	if s := <-notices; s.Refused != 1 || s.Evicted != 0 || s.Used != 12<<20 || s.Limits != testLimits {
		t.Errorf("notice %+v", s)
	}
}

// Guards against limits that leave nothing, or more than the machine has.
func TestLimitsOf(t *testing.T) {
	for _, mb := range []int64{0, 1, 40, 64, 96, 184, 284, 536, 64_000} {
		machine := mb * 1_000_000
		l := LimitsOf(machine)
		if l.Total < minTotalBytes || l.Large <= 0 || l.Large >= l.Total || mb >= 64 && l.Total+ownBytes > machine {
			t.Errorf("%d MB: %+v", mb, l)
		}
		if c := CollectorLimit(machine); mb >= 64 && (c > machine || c < l.Total) {
			t.Errorf("%d MB: the collector's limit is %d", mb, c)
		}
	}
}

// Guards against bodies that change, or that take more memory than is reserved.
func TestReadBuffer(t *testing.T) {
	for _, size := range []int{0, 1, firstSegmentBytes, firstSegmentBytes + 1, 1 << 20} {
		body := strings.Repeat("0123456789abcdef", size/16+1)[:size]
		for _, length := range []int64{-1, int64(size)} {
			a := NewAccount(testLimits, nil)
			h := a.NewHolder(nil)
			b, err := ReadBuffer(iotest.HalfReader(strings.NewReader(body)), length, 1<<20, h)
			if err != nil {
				t.Fatalf("%d bytes, length %d: %v", size, length, err)
			}
			got, _ := io.ReadAll(b.Reader())
			held := int64(0)
			for _, s := range b.Segments() {
				held += int64(cap(s))
			}
			if string(got) != body || b.Len() != int64(size) || held > a.Used() {
				t.Errorf("%d bytes, length %d: read %d, Len %d, %d bytes are held and %d reserved", size, length, len(got), b.Len(), held, a.Used())
			}
		}
	}
}

// Guards against a body that is too large, or cut off, and is taken for a complete one.
func TestReadBufferRefuses(t *testing.T) {
	body := bytes.Repeat([]byte("x"), 10_000)
	cutOff := func() io.Reader { return io.MultiReader(bytes.NewReader(body), iotest.ErrReader(io.ErrUnexpectedEOF)) }
	for name, c := range map[string]struct {
		r             io.Reader
		length, limit int64
		want          error
	}{
		"too large":           {bytes.NewReader(body), -1, 9_999, ErrTooLarge},
		"shorter than said":   {bytes.NewReader(body), 10_001, 1 << 20, io.ErrUnexpectedEOF},
		"cut off":             {cutOff(), -1, 1 << 20, io.ErrUnexpectedEOF},
		"cut off, at limit":   {cutOff(), -1, 10_000, io.ErrUnexpectedEOF},
		"more than is left":   {bytes.NewReader(make([]byte, 17<<20)), 17 << 20, 17 << 20, ErrShort},
		"more, without a len": {bytes.NewReader(make([]byte, 17<<20)), -1, 17 << 20, ErrShort},
	} {
		if _, err := ReadBuffer(c.r, c.length, c.limit, NewAccount(testLimits, nil).NewHolder(nil)); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", name, err, c.want)
		}
	}
}
