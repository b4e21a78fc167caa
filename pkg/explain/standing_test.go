package explain

import (
	"strings"
	"testing"
)

const standingLog = `
vm-a {"time":"2026-01-01T00:00:01Z","msg":"submit","job":"aa","outcome":"ok"}
vm-b {"time":"2026-01-01T00:00:03Z","msg":"job is standing","job":"aa","standingMS":2000,"reason":"not_stored","worker":"w1","workerState":"schedulable"}
vm-b {"time":"2026-01-01T00:00:08Z","msg":"job is standing","job":"aa","standingMS":7000,"reason":"former_run","worker":"w2","workerState":"unanswered"}
vm-b {"time":"2026-01-01T00:00:09Z","msg":"placed","job":"aa","occurrence":0,"step":0,"waitedMS":400}
vm-b {"time":"2026-01-01T00:00:12Z","msg":"run ended","task":"aa.0.0.0","run":1,"reason":"failed","ranMS":3000}
vm-b {"time":"2026-01-01T00:00:14Z","msg":"job is standing","job":"aa","standingMS":2000,"reason":"excluded"}
vm-b {"time":"2026-01-01T00:00:15Z","msg":"start not accepted","task":"aa.0.0.0","run":2,"worker":"w1","verdict":"room"}
vm-b {"time":"2026-01-01T00:00:16Z","msg":"run ended","task":"aa.0.0.0","run":3,"reason":"done","ranMS":500}
vm-b {"time":"2026-01-01T00:00:17Z","msg":"job ends","job":"aa","queue":"q","workspace":"w","state":"completed","tookMS":16000,"slackFactor":1,"targetRuntimeMS":100}
vm-b {"time":"2026-01-01T00:00:05Z","msg":"job became known late","job":"bb","ageMS":4000,"source":"watch"}
vm-b {"time":"2026-01-01T00:00:05Z","msg":"job is standing","job":"cc","standingMS":2000,"reason":"new_reason"}
`

// Guards against a job that stood and whose cause names a shorter wait, or none.
func TestCauseOfAStandingJob(t *testing.T) {
	for id, want := range map[string]string{
		"aa": "cause: it stood for at least 7.0 s: members of its gang's former run were left (worker w2, unanswered)\n",
		"bb": "cause: the owner learned of it late",
		"cc": "cause: it stood for at least 2.0 s: new_reason\n",
	} {
		var out strings.Builder
		if err := Job(strings.NewReader(standingLog), &out, id); err != nil {
			t.Fatal(err)
		}
		if !strings.Contains(out.String(), want) {
			t.Errorf("%s: want %q, got\n%s", id, want, out.String())
		}
	}
}

// Guards against standing time that is counted twice, or under a reason of another time.
func TestAccountOfAStandingJob(t *testing.T) {
	all, err := Accounts(strings.NewReader(standingLog))
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := WriteAccounts(&out, all); err != nil {
		t.Fatal(err)
	}
	const want = `standing    jobs  late  seconds
excluded    1     1     2.0
former_run  1     1     5.0
not_stored  1     1     2.0
`
	if !strings.Contains(out.String(), want) {
		t.Errorf("want\n%s\ngot\n%s", want, out.String())
	}
}
