//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["two-holders"] = testCase{machines: []machine{smallDeployment, smallDeployment, smallDeployment}, run: twoHolders}
}

// Times of the case.
const (
	slowAnswer  = 140 * time.Millisecond  // platform_slow: x = 35, with 4 ms an answer
	slowFor     = 2500 * time.Millisecond // of 4.5 s in the site files
	leaderCut   = 720 * time.Millisecond  // core_cut: for_s is at most 5.5 there
	leaseBound  = 3 * time.Second         // lease_ms
	contactTime = 3 * time.Second         // contact_ms
	upkeepTime  = 2 * time.Second         // maintenance_s
	waveTime    = 40 * time.Second
)

// order is a call for a machine.
type order struct {
	at      time.Time
	machine string
	holder  string
	token   int64
	status  int
}

// upkeep is the machine API with fencing and one life of a worker after the other.
type upkeep struct {
	d  *deployment
	mu sync.Mutex

	tokens map[string]int64
	downTo map[string]time.Time
	begun  map[string]bool
	orders []order
	most   int // machines that were down at a time
}

func (u *upkeep) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	if r.URL.Path == "/machines" {
		list := []any{}
		for _, k := range u.d.pool.all() {
			row := map[string]any{
				"machine": k.machine, "pool": serviceName, "state": "up", "zone": "z", "labels": []string{"a", k.rack},
				"capacity": map[string]int{"cpu": 64000, "mem_mb": 262144, "gpu": 8}, "id": k.id,
			}
			switch {
			case k.gone && now.Before(u.downTo[k.machine]):
				row["state"], row["id"] = "upkeep", nil
			case k.gone:
				continue // its machine has another worker
			}
			list = append(list, row)
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"machines": list, "next_token": nil}) // the caller may have left
		return
	}
	var b struct {
		Machine string `json:"machine"`
		Wave    int64  `json:"wave"`
	}
	token, err := strconv.ParseInt(r.Header.Get("X-Carawayusher-Fencing-Token"), 10, 64)
	if err != nil || r.URL.Path != "/machine-upkeep" || json.NewDecoder(r.Body).Decode(&b) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	o := order{at: now, machine: b.Machine, holder: r.Header.Get("X-Carawayusher-Duty-Holder"), token: token, status: http.StatusOK}
	if token < u.tokens[b.Machine] {
		o.status = http.StatusConflict
		w.WriteHeader(o.status)
		_, _ = w.Write([]byte(`{"reason":"fence"}`))
	} else {
		u.tokens[b.Machine] = token
		if !u.begun[b.Machine] {
			u.begun[b.Machine], u.downTo[b.Machine] = true, now.Add(upkeepTime)
			for _, k := range u.d.pool.all() {
				if k.machine == b.Machine && !k.gone {
					u.d.pool.replace(k, upkeepTime)
				}
			}
			down := 0
			for _, until := range u.downTo {
				if now.Before(until) {
					down++
				}
			}
			u.most = max(u.most, down)
			u.d.record.linef("cloud: UPKEEP BEGINS on %s", b.Machine)
		}
	}
	u.orders = append(u.orders, o)
	u.d.record.linef("cloud: upkeep of %s ordered by %s with token %d: %d", b.Machine, o.holder, token, o.status)
}

// twoHolders lets the store be slow while the owner of the fleet loses it for less than a
// second, so that another machine frees the owner's key without the owner learning of it. Once
// all is calm the operator asks for a wave of upkeep. Rule ONE: no two holders in touch take
// turns on a machine within lease_ms.
func twoHolders(d *deployment) error {
	u := &upkeep{d: d, tokens: map[string]int64{}, downTo: map[string]time.Time{}, begun: map[string]bool{}}
	d.cloud.set(u)
	first := d.owner()
	if first == nil {
		return errors.New("no process owns the fleet")
	}
	renewed := make(chan struct{}, 1)
	waveRead := make(chan string, 16)
	d.slow.setSeen(func(r *http.Request, status int) {
		switch {
		case strings.HasPrefix(r.URL.Path, "/kv-keep/"):
			select {
			case renewed <- struct{}{}:
			default:
			}
		case r.URL.Path == "/kv-range" && r.URL.Query().Get("prefix") == "op/wave/":
			select {
			case waveRead <- d.nodeOf(r):
			default:
			}
		}
	})
	// A few jobs, so that the machines have called each other.
	for i := range 9 {
		id := fmt.Sprintf("00000000000000e%d", i)
		d.call(d.nodes[i%3], http.MethodPost, id, `{"spec":"x","steps":[{"count":1,"cpu":1000,"mem_mb":256,"estimate_ms":300}]}`, 3*time.Second)
		if s := d.awaitState(d.nodes[i%3], id, 10*time.Second, "completed"); s != "completed" {
			return fmt.Errorf("a job before the disruption is %q", s)
		}
	}
	time.Sleep(2 * time.Second)
	if d.trouble {
		d.slow.delay.Store(int64(slowAnswer))
		time.Sleep(time.Second)
		for len(renewed) > 0 {
			<-renewed
		}
		<-renewed
		time.Sleep(slowAnswer)
		d.record.linef("%s, the owner, is cut off from the store for %v", first.name, leaderCut)
		first.gate.hold(leaderCut)
		time.Sleep(slowFor)
		d.slow.delay.Store(0)
	}
	time.Sleep(2*contactTime + time.Second)
	second := d.owner()
	if second == nil {
		return errors.New("no process owns the fleet after the disruption")
	}
	d.record.linef("owner before %s, owner by the store's key now %s", first.name, second.name)
	for len(waveRead) > 0 {
		<-waveRead
	}
	// The wave is written just after the present owner has looked for one.
	for deadline := time.Now().Add(10 * time.Second); ; {
		if time.Now().After(deadline) {
			return errors.New("the owner does not look for waves")
		}
		if name := <-waveRead; name == second.name {
			break
		}
	}
	names := []string{}
	for _, k := range d.pool.all() {
		names = append(names, k.machine)
	}
	value, _ := json.Marshal(map[string]any{"wave": 1, "machines": names, "duration_s": 60, "max_count": 1}) // plain data
	if _, err := d.store.Put(d.ctx, "op/wave/1", value, 0, 0); err != nil {
		return err
	}
	d.record.linef("operator: op/wave/1 %s", value)
	for deadline := time.Now().Add(waveTime); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		if e, err := d.store.Get(d.ctx, "status/wave/1"); err == nil && strings.Contains(string(e.Value), "completed") {
			d.record.linef("status/wave/1 %s", e.Value)
			break
		}
	}
	time.Sleep(2 * time.Second)
	return u.judge()
}

// judge looks for two holders that order one machine within lease_ms.
func (u *upkeep) judge() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.d.record.linef("%d orders, at most %d machines down at a time (max_count 1)", len(u.orders), u.most)
	if len(u.orders) == 0 {
		return errors.New("no upkeep was ordered")
	}
	turns := 0
	for i, a := range u.orders {
		for _, b := range u.orders[i+1:] {
			if a.machine == b.machine && a.token != b.token && b.at.Sub(a.at) <= leaseBound {
				turns++
				u.d.record.linef("%s: %s (token %d, %d) and %.2f s later %s (token %d, %d)", a.machine, a.holder, a.token, a.status, b.at.Sub(a.at).Seconds(), b.holder, b.token, b.status)
			}
		}
	}
	switch {
	case turns > 0:
		return fmt.Errorf("%w: ONE: two holders in touch took turns %d times on a machine within lease_ms", errBroken, turns)
	case u.most > 1:
		return fmt.Errorf("%w: LIMIT: %d machines of the wave were down at a time", errBroken, u.most)
	}
	return nil
}
