package explain

import (
	"os"
	"strings"
	"testing"
	"time"
)

// recordedAccounts returns the accounts of a recorded log of two VMs.
func recordedAccounts(t *testing.T) map[string]JobAccount {
	t.Helper()
	f, err := os.Open("testdata/account.log")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	all, err := Accounts(f)
	if err != nil {
		t.Fatal(err)
	}
	byID := map[string]JobAccount{}
	for _, a := range all {
		byID[a.Job] = a
	}
	return byID
}

// Guards against time that is counted twice or under no cause.
func TestAccountAddsUp(t *testing.T) {
	all := recordedAccounts(t)
	if len(all) < 5 {
		t.Fatalf("%d jobs in the recorded log", len(all))
	}
	for id, a := range all {
		sum := time.Duration(0)
		for _, c := range Causes {
			sum += a.Parts[c]
		}
		if sum != a.Took {
			t.Errorf("job %s took %v, its parts add up to %v: %v", id, a.Took, sum, a.Parts)
		}
		for c, d := range a.Parts {
			if d < 0 {
				t.Errorf("job %s: %v of %s", id, d, c)
			}
		}
	}
}

// Guards against the time of a lost run or of a wait under a wrong cause.
func TestAccountCauses(t *testing.T) {
	all := recordedAccounts(t)
	tests := map[string]struct {
		cause Cause
		least time.Duration
	}{
		"0e87cfc59eb17245": {WaitingStops, 1400 * time.Millisecond},
		"1c840f88c425b37a": {LostGang, 1600 * time.Millisecond},
	}
	for id, tc := range tests {
		a := all[id]
		if a.Parts[tc.cause] < tc.least {
			t.Errorf("job %s: %v of %s, want at least %v: %v", id, a.Parts[tc.cause], tc.cause, tc.least, a.Parts)
		}
		if !a.Late() {
			t.Errorf("job %s took %v and is not late against %v", id, a.Took, a.Target)
		}
	}
}

// Guards against a report without the queues, or with a line that is no log entry.
func TestWriteAccounts(t *testing.T) {
	all, err := Accounts(strings.NewReader(`not JSON
vm-a {"time":"2026-01-01T00:00:01Z","msg":"placed","job":"aa","occurrence":0,"step":0,"waitedMS":400,"stopsMS":300}
vm-a {"time":"2026-01-01T00:00:03Z","msg":"run ended","task":"aa.0.0.0","run":1,"reason":"done","ranMS":1900}
vm-a {"time":"2026-01-01T00:00:03.1Z","msg":"job ends","job":"aa","queue":"urgent","workspace":"w","state":"completed","tookMS":2600,"slackFactor":1.1,"targetRuntimeMS":100}
`))
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := WriteAccounts(&out, all); err != nil {
		t.Fatal(err)
	}
	const want = "urgent  1     1     1.9      0.1               0.3            0.1       0.0             0.0        0.0          0.0          0.0           0.1     0.1"
	if !strings.Contains(out.String(), want) {
		t.Errorf("got\n%s", out.String())
	}
}

// Guards against an account that never ends, or loses time, where lines are missing: a run
// without a placement and a known start, as at the beginning of a log file.
func TestAccountWithMissingLines(t *testing.T) {
	all, err := Accounts(strings.NewReader(`
vm-a {"time":"2026-01-01T00:00:03Z","msg":"run ended","task":"aa.0.0.0","run":1,"reason":"stopped","ranMS":0}
vm-a {"time":"2026-01-01T00:00:03Z","msg":"run ended","task":"aa.0.0.1","run":1,"reason":"done","ranMS":0}
vm-a {"time":"2026-01-01T00:00:03Z","msg":"job ends","job":"aa","state":"completed","tookMS":2000}
`))
	if err != nil {
		t.Fatal(err)
	}
	if len(all) != 1 || all[0].Parts[Unseen] != all[0].Took {
		t.Errorf("got %+v", all)
	}
}
