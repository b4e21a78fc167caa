package workload

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// Guards against records that former versions, which know only the worker and its
// incarnation, cannot read, or that this version cannot read from them: during an upgrade
// owners of both versions follow each other.
func TestAssignmentsAreExchangedWithFormerVersions(t *testing.T) {
	type formerAssignment struct {
		Worker      string `cbor:"1,keyasint"`
		Incarnation int64  `cbor:"2,keyasint"`
	}
	type formerRecord struct {
		State          State              `cbor:"1,keyasint"`
		FinishedUnixMS int64              `cbor:"2,keyasint,omitempty"`
		Workers        []formerAssignment `cbor:"3,keyasint,omitempty"`
		Tasks          []taskRecord       `cbor:"4,keyasint,omitempty"`
	}
	j := &Job{ID: "0123456789abcdef", Queue: "q", Steps: []Step{{Tasks: 2}}}
	p := NewProgress(j)
	*p.Task(0, 0, 0) = Task{Phase: Assigned, Run: 3, Assigned: Assignment{Worker: "w", Incarnation: 7, Machine: "m", StartSettled: true}}
	*p.Task(0, 0, 1) = Task{Phase: Assigned, Run: 1, Assigned: Assignment{Worker: "w", Incarnation: 7, Machine: "m", StartAgeS: 5}}
	data, err := p.Encode()
	if err != nil {
		t.Fatal(err)
	}
	var former formerRecord
	if err := cbor.Unmarshal(data, &former); err != nil {
		t.Fatalf("a former version cannot read the record: %v", err)
	}
	for _, r := range former.Tasks {
		if a := former.Workers[r.Worker]; a != (formerAssignment{"w", 7}) || r.Phase != Assigned || r.Run == 0 {
			t.Errorf("a former version reads %+v, %+v", r, a)
		}
	}
	if data, err = cbor.Marshal(former); err != nil {
		t.Fatal(err)
	}
	back, err := DecodeProgress(j, data)
	if err != nil {
		t.Fatalf("the record of a former version cannot be read: %v", err)
	}
	for i, run := range []int64{3, 1} {
		if got, want := *back.Task(0, 0, i), (Task{Phase: Assigned, Run: run, Assigned: Assignment{Worker: "w", Incarnation: 7}}); got != want {
			t.Errorf("task %d is read as %+v, want %+v", i, got, want)
		}
	}
}

// Guards against counting a failed run of a gang again after its record has passed an owner of
// a former version, and against a record that such an owner cannot read.
func TestCountedFailuresAreExchangedWithFormerVersions(t *testing.T) {
	type formerRecord struct {
		State State        `cbor:"1,keyasint"`
		Tasks []taskRecord `cbor:"4,keyasint,omitempty"`
	}
	j := &Job{ID: "0123456789abcdef", Queue: "q", Steps: []Step{{Tasks: 3, Gang: true}}}
	p := NewProgress(j)
	*p.Task(0, 0, 0) = Task{Phase: Pending, Run: 2, Failures: 2, LastFailedRun: 2}
	*p.Task(0, 0, 1) = Task{Phase: Pending, Run: 3, Failures: 1, LastFailedRun: 3}
	*p.Task(0, 0, 2) = Task{Phase: Pending, Run: 3}
	data, err := p.Encode()
	if err != nil {
		t.Fatal(err)
	}
	check := func(version string, data []byte, want [3]int64) {
		t.Helper()
		back, err := DecodeProgress(j, data)
		if err != nil {
			t.Fatalf("record of %s: %v", version, err)
		}
		for i, run := range want {
			if got := back.Task(0, 0, i).LastFailedRun; got != run {
				t.Errorf("record of %s: task %d counts run %d last, want %d", version, i, got, run)
			}
		}
	}
	check("this version", data, [3]int64{2, 3, 0})
	var former formerRecord
	if err := cbor.Unmarshal(data, &former); err != nil {
		t.Fatalf("a former version cannot read the record: %v", err)
	}
	if data, err = cbor.Marshal(former); err != nil {
		t.Fatal(err)
	}
	// The record of a former version does not tell which of the runs of task 1 has failed.
	check("a former version", data, [3]int64{2, 0, 0})
}
