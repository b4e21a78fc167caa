package fleet

import (
	"encoding/json"

	"github.com/carawayusher/carawayusher/pkg/platform"
)

// AutomationHoldKey is the store key of the automation hold, by which operators
// suspend all automatic actions. A change takes effect immediately; without the key
// nothing is suspended.
const AutomationHoldKey = "automation"

// AutomationHold is the value at AutomationHoldKey, as JSON.
type AutomationHold struct {
	Hold   bool   `json:"hold"`
	Reason string `json:"reason,omitempty"`
	By     string `json:"by,omitempty"`
}

// watchAutomationHold keeps the automation hold in sync with the store. While the
// store is unreachable, the last known state remains in force.
func (o *Owner) watchAutomationHold() {
	read := func() (int64, error) {
		found := false
		revision, err := o.listPrefix(AutomationHoldKey, func(e platform.Entry) {
			if e.Key == AutomationHoldKey {
				found = true
				o.applyAutomationHold(e.Value)
			}
		})
		if err == nil && !found {
			o.applyAutomationHold(nil)
		}
		return revision, err
	}
	o.runWatch(storeWatch{prefix: AutomationHoldKey, relist: read, apply: func(events []platform.Event) {
		for _, e := range events {
			if e.Entry.Key == AutomationHoldKey {
				o.applyAutomationHold(e.Entry.Value)
			}
		}
	}}, 0)
}

func (o *Owner) applyAutomationHold(value []byte) {
	var h AutomationHold
	if len(value) > 0 {
		if err := json.Unmarshal(value, &h); err != nil {
			o.opts.Log.Error(err, "cannot decode the automation hold; keeping the previous state")
			return
		}
	}
	if o.automationHold.Swap(h.Hold) != h.Hold {
		o.opts.Log.Info("automation hold changed", "held", h.Hold, "reason", h.Reason, "by", h.By)
		o.triggerCycle()
	}
}

// automationHeld reports whether operators have suspended all automatic actions.
func (o *Owner) automationHeld() bool { return o.automationHold.Load() }
