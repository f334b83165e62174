package test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"trefoilstream.example/trefoilstream/internal/measure"
	"trefoilstream.example/trefoilstream/internal/standin"
)

// lateReader is a caller of the own interface that reads its responses when it likes, with habits
// drawn from a seed.
type lateReader struct {
	address string
	tag     string
	// starts is when it sends its first request, and gaps are the pauses before each further one.
	starts time.Duration
	gaps   []time.Duration
	// pause is how long it waits before it reads, and pieceGap after each piece.
	pause, pieceGap time.Duration
	// bytes is the size of its responses.
	bytes int64
}

func drawLateReader(address, tag string, rng *rand.Rand) lateReader {
	c := lateReader{
		address: address, tag: tag, starts: time.Duration(rng.IntN(1500)) * time.Millisecond,
		pause: time.Duration(rng.IntN(3000)) * time.Millisecond, bytes: []int64{500_000, 12 << 20}[rng.IntN(2)],
	}
	if rng.IntN(2) == 0 {
		c.pieceGap = time.Millisecond
	}
	for range 1 + rng.IntN(3) {
		c.gaps = append(c.gaps, time.Duration(rng.IntN(300))*time.Millisecond)
	}
	return c
}

// play sends the requests, reads the responses and returns an error unless each one is whole up to
// that which closes the connection.
func (c *lateReader) play(raw net.Conn) error {
	defer func() { _ = raw.Close() }()
	time.Sleep(c.starts)
	for i, gap := range c.gaps {
		if i > 0 {
			time.Sleep(gap)
		}
		if _, err := fmt.Fprintf(raw, "GET /sheets/x?bytes=%d HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\n%s: %s\r\n\r\n",
			c.bytes, measure.KeyOf("dispatch-1"), standin.TagHeader, c.tag); err != nil {
			// The instance may have closed the connection behind an earlier response.
			break
		}
	}
	time.Sleep(c.pause)
	r := bufio.NewReader(raw)
	for i := range c.gaps {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return fmt.Errorf("no response to request %d: %w", i, err)
		}
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("status %d for request %d", resp.StatusCode, i)
		}
		if err := standin.VerifyResponseBody(&slowReader{resp.Body, c.pieceGap}, c.tag, c.bytes); err != nil {
			return fmt.Errorf("response to request %d: %w", i, err)
		}
		if resp.Close {
			break
		}
	}
	return nil
}

// slowReader pauses after each piece that it reads.
type slowReader struct {
	r   io.Reader
	gap time.Duration
}

// Read implements io.Reader.
func (s *slowReader) Read(p []byte) (int, error) {
	time.Sleep(s.gap)
	return s.r.Read(p)
}

// Guards against a planned stop that cuts off a response whose caller reads it later, slowly, or
// after it has sent more: at the instance that stops, and at the others for which it owns backend
// servers. TREFOILSTREAM_LATE_SEEDS=A-B plays further seeds.
func TestPlannedStopWithLateReaders(t *testing.T) {
	t.Parallel()
	const callers = 36
	first, last := standin.Seeds("TREFOILSTREAM_LATE_SEEDS", 1)
	for seed := first; seed <= last; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			fleet, _ := startFaultFleet(t, standin.Behaviour{Slots: 20, ServiceMS: 5})
			rng := rand.New(rand.NewPCG(seed, 44))
			var wg sync.WaitGroup
			for n := range callers {
				c := drawLateReader(fleet.Instances[n%3].CallerAddress, fmt.Sprint("late-", n), rng)
				raw, err := net.DialTimeout("tcp", c.address, time.Second)
				if err != nil {
					t.Fatal(err)
				}
				// With a fixed size, the kernel does not enlarge the buffer by itself.
				_ = raw.(*net.TCPConn).SetReadBuffer(64 << 10)
				wg.Go(func() {
					if err := c.play(raw); err != nil {
						t.Errorf("%+v: %v", c, err)
					}
				})
			}
			time.Sleep(700 * time.Millisecond)
			stopped := time.Now()
			if err := fleet.Instances[0].Stop(60 * time.Second); err != nil {
				t.Error(err)
			}
			t.Logf("the instance ended %v after it was told to stop", time.Since(stopped))
			wg.Wait()
		})
	}
}
