package fleet

import (
	"context"
	"time"
)

// Timings of questions to other VMs about the owner.
const (
	// ownerHintInterval is the least time between two such questions. While the store is
	// away for all, the former owner gets them from every VM.
	ownerHintInterval = 400 * time.Millisecond
	// ownerHintTimeout bounds one question.
	ownerHintTimeout = 300 * time.Millisecond
)

// OwnerHint is what a VM knows of the owner of the fleet. It serves to reach the owner, not
// to decide who it is: only the store does that.
type OwnerHint struct {
	Address string `cbor:"1,keyasint,omitempty"`
	// Token is the fencing token of the owner; the hint with the highest one is the newest.
	Token int64 `cbor:"2,keyasint,omitempty"`
}

// LastOwner returns the address of the last known owner, even while the store is
// unreachable; empty if no owner is known.
func (e *Elector) LastOwner() string { return e.OwnerHint().Address }

// OwnerHint returns the newest that this VM knows of the owner, from the store or from other
// VMs.
func (e *Elector) OwnerHint() OwnerHint {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.newestHint()
}

// newestHint is OwnerHint with the lock held.
func (e *Elector) newestHint() OwnerHint {
	if e.hint.Token > e.ownerToken {
		return e.hint
	}
	return OwnerHint{Address: e.owner.Address, Token: e.ownerToken}
}

// AddOwnerHint applies what another VM knows of the owner.
func (e *Elector) AddOwnerHint(h OwnerHint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	known := e.newestHint()
	if h.Address == "" || h.Token <= known.Token {
		return
	}
	e.hint = h
	e.opts.Metrics.Event("owner_learned_from_vm")
	e.opts.Log.Info("learned of the owner of the fleet from another VM", "address", h.Address, "token", h.Token, "before", known.Address)
}

// askForOwner asks other VMs for the owner, in the background: the election must not wait for
// them. A VM that the store turns away would otherwise send the calls of its callers to the former
// owner for as long as that lasts.
func (e *Elector) askForOwner(ctx context.Context) {
	now := e.opts.Clock()
	if e.opts.AskOwner == nil || now < e.nextHintAt {
		return
	}
	e.nextHintAt = now + ownerHintInterval // longer than a question, so that one is open at most
	go func() {
		ctx, cancel := context.WithTimeout(ctx, ownerHintTimeout)
		defer cancel()
		for _, h := range e.opts.AskOwner(ctx) {
			e.AddOwnerHint(h)
		}
	}()
}
