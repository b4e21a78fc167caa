package settings

import (
	"fmt"
	"math"
	"net"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

var (
	namePattern   = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]{0,62})$`)
	domainPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]*/[a-z0-9][a-z0-9-]*$`)
	sizePattern   = regexp.MustCompile(`^([0-9]+)(B|KiB|MiB|GiB)$`)
)

var sizeUnits = map[string]int64{"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}

func parseDuration(text string, low, high time.Duration) (time.Duration, error) {
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0, errors.Errorf("%q is not a duration with a unit", text)
	}
	if d < low || d > high {
		return 0, errors.Errorf("%s is out of range", text)
	}
	return d, nil
}

func parseSize(text string, low, high int64) (int64, error) {
	m := sizePattern.FindStringSubmatch(text)
	if m == nil {
		return 0, errors.Errorf("%q is not a size with a unit", text)
	}
	n, err := strconv.ParseInt(m[1], 10, 64)
	unit := sizeUnits[m[2]]
	if err != nil || n > math.MaxInt64/unit || n*unit < low || n*unit > high {
		return 0, errors.Errorf("%s is out of range", text)
	}
	return n * unit, nil
}

func parseCount(text string, high int) (int, error) {
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0, errors.Errorf("%q is not a whole number", text)
	}
	if n < 1 || n > high {
		return 0, errors.Errorf("%d is out of range", n)
	}
	return n, nil
}

func parseAddress(text string) (string, error) {
	host, port, err := net.SplitHostPort(text)
	if err != nil {
		return "", errors.Errorf("%q is not host:port", text)
	}
	if host != "" && net.ParseIP(host) == nil && host != "localhost" {
		return "", errors.Errorf("host %q is not an IP address", host)
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > math.MaxUint16 {
		return "", errors.Errorf("port %q is not a number from 0 to 65535", port)
	}
	return text, nil
}

func parseURL(text string) (string, error) {
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		// The text is not repeated, because it may hold credentials.
		return "", errors.New("not an http or https URL with a host")
	}
	if u.User != nil || u.RawQuery != "" || u.Fragment != "" {
		return "", errors.New("the URL must not hold credentials, a query or a fragment")
	}
	return strings.TrimSuffix(text, "/"), nil
}

func parsePattern(text string, pattern *regexp.Regexp) (string, error) {
	if !pattern.MatchString(text) {
		return "", errors.Errorf("%q does not have the required form", text)
	}
	return text, nil
}

func parseOneOf(text string, allowed []string) (string, error) {
	if !slices.Contains(allowed, text) {
		return "", errors.Errorf("%q is not an allowed value", text)
	}
	return text, nil
}

func formatSize(n int64) string {
	for _, unit := range []string{"GiB", "MiB", "KiB"} {
		if n >= sizeUnits[unit] && n%sizeUnits[unit] == 0 {
			return fmt.Sprintf("%d%s", n/sizeUnits[unit], unit)
		}
	}
	return fmt.Sprintf("%dB", n)
}

// formatDuration drops the zero parts that time.Duration.String adds.
func formatDuration(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}
