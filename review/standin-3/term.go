//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// playTerm stops the VMs in turn with SIGTERM while clients call them over kept connections. It is
// no case but a search for one: requests that were sent whole and whose connection ends without an
// answer.
func playTerm(s *scenario) {
	s.serve()
	s.configure(1)
	s.addWorkers(6)
	s.startVMs(3, "")
	time.Sleep(time.Second)
	end := time.Now().Add(45 * time.Second)
	var wg sync.WaitGroup
	var calls, broken, refused atomic.Int64
	for i := range 60 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
			v := s.vms[i%3]
			n := 0
			for time.Now().Before(end) {
				n++
				id := fmt.Sprintf("%016x", rand.Uint64())
				method, body := http.MethodGet, ""
				if n%3 == 0 {
					method, body = http.MethodPost, `{"spec":"work=50","steps":[{"count":1,"cpu":100,"mem_mb":10,"estimate_ms":50}]}`
					s.mu.Lock()
					s.jobs[id] = &job{id: id, spec: "work=50", steps: []step{{"count": 1, "cpu": 100, "mem_mb": 10}}}
					s.mu.Unlock()
				}
				req, _ := http.NewRequest(method, "http://"+v.front+"/quote/"+id, strings.NewReader(body))
				req.Host = host
				req.GetBody = nil
				req.Header.Set("X-Carawayusher-Key", clientKey)
				sentAt := time.Now()
				resp, err := c.Do(req)
				calls.Add(1)
				if err != nil {
					if strings.Contains(err.Error(), "refused") {
						refused.Add(1)
						time.Sleep(20 * time.Millisecond)
						continue
					}
					broken.Add(1)
					s.record("%s of client %d after %v: %v", method, i, time.Since(sentAt), err)
					continue
				}
				_ = resp.Body.Close()
				if rand.IntN(20) == 0 {
					time.Sleep(time.Duration(rand.IntN(3000)) * time.Millisecond)
				} else {
					time.Sleep(time.Duration(rand.IntN(40)) * time.Millisecond)
				}
			}
		}()
	}
	for time.Now().Before(end.Add(-7 * time.Second)) {
		v := s.vms[rand.IntN(3)]
		s.record("term %s", v.ip)
		_ = v.cmd.Process.Signal(syscall.SIGTERM)
		at := time.Now()
		<-v.ended
		s.record("%s ended after %v", v.ip, time.Since(at))
		s.restart(v)
		time.Sleep(500 * time.Millisecond)
	}
	wg.Wait()
	s.record("%d calls, %d broken, %d refused connections", calls.Load(), broken.Load(), refused.Load())
	fmt.Println(calls.Load(), broken.Load(), refused.Load())
}
