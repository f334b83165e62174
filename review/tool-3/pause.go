package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["13"] = playPause }

// Figures of the case.
const (
	// scanBytes is the size of a download. The pages set none.
	scanBytes    = 24 << 20
	scanDeadline = 15 * time.Second
	scans        = 6
	// pause is how long a client reads nothing after the first bytes of the response.
	pause = 3 * time.Second
	// callerWindow is the receive buffer of a client, in bytes.
	callerWindow = 64 << 10
	// maxCut is how many requests a machine may leave without a whole answer.
	maxCut = 3
)

// playPause lets clients download over an instance that none of the backends is near to, so
// that another instance passes the responses on. With trouble the clients pause.
func playPause(p *play) int {
	p.putConfig(1, 0, 0)
	if !p.addBackends("board", 6, 2, 20*time.Millisecond) {
		return cannotRun
	}
	for i := range 6 {
		b := &backend{
			id: fmt.Sprintf("i-vault-%d", i), service: "vault", zone: "zone-a", slots: 2, workTime: 50 * time.Millisecond,
			respond: func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", fmt.Sprint(scanBytes))
				_, _ = w.Write(make([]byte, scanBytes))
			},
		}
		if err := b.start(p.store); err != nil {
			return cannotRun
		}
		p.backends = append(p.backends, b)
	}
	if !p.startFleet(6) {
		return cannotRun
	}
	entry := p.fleet.instances[2]
	p.printf("all clients are connected to instance %d in %s, all backends of the downloads are in zone-a", entry.number, entry.zone)
	// Longer than contact, so that the machine is in touch.
	time.Sleep(4 * time.Second)
	var wg sync.WaitGroup
	results := make([]string, scans)
	cut := make([]bool, scans)
	for n := range scans {
		wg.Go(func() { results[n], cut[n] = p.download(entry.callers) })
	}
	wg.Wait()
	cuts := 0
	for n, r := range results {
		p.printf("download %d: %s", n, r)
		if cut[n] {
			cuts++
		}
	}
	for _, b := range p.backends {
		for _, r := range b.allRuns() {
			p.printf("request %s ran at %s from %.3f to %.3f", r.id, b.id, p.at(r.began), p.at(r.ended))
		}
	}
	p.printf("%d of %d requests on kept connections were left without a whole answer; allowed are %d", cuts, scans, maxCut)
	if cuts > maxCut {
		return broken
	}
	return held
}

// download sends a lookup and then a download on one connection, and reports how the download
// ended and whether the connection was closed before the end of the response.
func (p *play) download(address string) (string, bool) {
	d := net.Dialer{Timeout: time.Second}
	c, err := d.Dial("tcp", address)
	if err != nil {
		return "no connection: " + err.Error(), false
	}
	defer func() { _ = c.Close() }()
	_ = c.(*net.TCPConn).SetReadBuffer(callerWindow)
	r := bufio.NewReaderSize(c, 4096)
	if status, _, err := exchange(c, r, "/look/1", newID()); err != nil || status != http.StatusOK {
		return fmt.Sprintf("the lookup got status %d, %v", status, err), false
	}
	id, sent := newID(), time.Now()
	status, resp, err := begin(c, r, "/scan/1", id)
	if err != nil || status != http.StatusOK || resp.Header.Get(headerSignature) == "" {
		return fmt.Sprintf("request %s got status %d, %v", id, status, err), err != nil
	}
	if p.trouble {
		time.Sleep(pause)
	}
	n, err := io.Copy(io.Discard, resp.Body)
	text := fmt.Sprintf("request %s sent at %.3f, status %d with signature, %d of %d bytes by %.3f, error %v", id, p.at(sent), status, n, scanBytes, p.at(time.Now()), err)
	return text, err != nil && time.Since(sent) < scanDeadline
}

func begin(c net.Conn, r *bufio.Reader, path, id string) (int, *http.Response, error) {
	_, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: shop.example\r\n%s: %s\r\n%s: key-1\r\n%s: %d\r\n\r\n", path, headerID, id, headerKey, headerDeadline, scanDeadline.Milliseconds())
	if err != nil {
		return 0, nil, err
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, nil, err
	}
	return resp.StatusCode, resp, nil
}

func exchange(c net.Conn, r *bufio.Reader, path, id string) (int, int64, error) {
	status, resp, err := begin(c, r, path, id)
	if err != nil {
		return status, 0, err
	}
	n, err := io.Copy(io.Discard, resp.Body)
	return status, n, err
}
