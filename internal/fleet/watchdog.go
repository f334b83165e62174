package fleet

import (
	"sync"
	"time"
)

// watchdogCheckInterval is how often a watchdog checks for its timeout.
const watchdogCheckInterval = 50 * time.Millisecond

// watchdog calls a function once if it is not reset within a timeout.
type watchdog struct {
	mu        sync.Mutex
	lastReset time.Time
	timeout   time.Duration
	timer     *time.Timer
	expire    func()
}

func newWatchdog(timeout time.Duration, expire func()) *watchdog {
	w := &watchdog{lastReset: time.Now(), timeout: timeout, expire: expire}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(watchdogCheckInterval, w.check)
	return w
}

func (w *watchdog) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Since(w.lastReset) > w.timeout {
		w.expire()
		return
	}
	w.timer.Reset(watchdogCheckInterval)
}

// reset restarts the timeout.
func (w *watchdog) reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastReset = time.Now()
}

func (w *watchdog) setTimeout(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timeout = d
}

func (w *watchdog) stop() { w.timer.Stop() }
