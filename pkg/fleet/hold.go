package fleet

import (
	"encoding/json"

	"github.com/carawayusher/carawayusher/pkg/platform"
)

// AutomationHoldKey is the store key of the operators' switch that suspends all
// automatic actions. A change takes effect at once; without the key nothing is
// suspended.
const AutomationHoldKey = "automation"

// AutomationHold is the value at AutomationHoldKey, as JSON.
type AutomationHold struct {
	Hold   bool   `json:"hold"`
	Reason string `json:"reason,omitempty"`
	By     string `json:"by,omitempty"`
}

// followHold keeps the switch as the store has it. While it cannot be read, the
// last known state stays in force.
func (o *Owner) followHold() {
	read := func() (int64, error) {
		found := false
		revision, err := o.listPrefix(AutomationHoldKey, func(e platform.Entry) {
			if e.Key == AutomationHoldKey {
				found = true
				o.setHold(e.Value)
			}
		})
		if err == nil && !found {
			o.setHold(nil)
		}
		return revision, err
	}
	o.runWatch(storeWatch{prefix: AutomationHoldKey, relist: read, apply: func(events []platform.Event) {
		for _, e := range events {
			if e.Entry.Key == AutomationHoldKey {
				o.setHold(e.Entry.Value)
			}
		}
	}}, 0)
}

func (o *Owner) setHold(value []byte) {
	var h AutomationHold
	if len(value) > 0 {
		if err := json.Unmarshal(value, &h); err != nil {
			o.opts.Log.Error(err, "the switch of automatic actions cannot be read; it stays as it was")
			return
		}
	}
	if o.holding.Swap(h.Hold) != h.Hold {
		o.opts.Log.Info("automatic actions", "held", h.Hold, "reason", h.Reason, "by", h.By)
		o.signal()
	}
}

// held reports whether an operator holds all automatic actions.
func (o *Owner) held() bool { return o.holding.Load() }
