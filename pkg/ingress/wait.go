package ingress

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// parseWait returns the wait that a request asks for: the query parameter wait
// (a duration such as 30s, or seconds), else the preference wait=N of RFC 7240
// (seconds). A longer wait than limit becomes limit.
func parseWait(r *http.Request, limit time.Duration) (wait time.Duration, asked bool, err error) {
	text, asked := r.URL.Query().Get("wait"), r.URL.Query().Has("wait")
	if !asked {
		text, asked = preferredWait(r.Header.Values("Prefer"))
	}
	if !asked {
		return 0, false, nil
	}
	wait, err = parseSeconds(text)
	if err != nil {
		return 0, false, err
	}
	return min(wait, limit), true, nil
}

func preferredWait(values []string) (string, bool) {
	for _, value := range values {
		for preference := range strings.SplitSeq(value, ",") {
			preference, _, _ = strings.Cut(preference, ";")
			name, text, ok := strings.Cut(preference, "=")
			if ok && strings.EqualFold(strings.TrimSpace(name), "wait") {
				return strings.Trim(strings.TrimSpace(text), `"`), true
			}
		}
	}
	return "", false
}

// maxSeconds keeps a number of seconds within time.Duration.
const maxSeconds = 1 << 31

func parseSeconds(text string) (time.Duration, error) {
	if n, err := strconv.ParseInt(text, 10, 64); err == nil {
		if n < 0 || n > maxSeconds {
			return 0, invalid("wait: %d is out of range", n)
		}
		return time.Duration(n) * time.Second, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		return 0, invalid("wait: %q is not a number of seconds or a duration such as 30s", text)
	}
	return d, nil
}
