package ingress

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// parseWait returns the wait time requested by the caller: the query parameter
// wait (a duration such as 30s, or seconds), else the preference wait=N of RFC
// 7240 (seconds). A wait longer than limit is reduced to limit. requested
// reports whether the request specifies a wait.
func parseWait(r *http.Request, limit time.Duration) (wait time.Duration, requested bool, err error) {
	text, requested := r.URL.Query().Get("wait"), r.URL.Query().Has("wait")
	if !requested {
		text, requested = preferredWait(r.Header.Values("Prefer"))
	}
	if !requested {
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

// maxWaitSeconds bounds a wait so that it does not overflow time.Duration.
const maxWaitSeconds = 1 << 31

func parseSeconds(text string) (time.Duration, error) {
	if n, err := strconv.ParseInt(text, 10, 64); err == nil {
		if n < 0 || n > maxWaitSeconds {
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
