package main

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"regexp"
	"strconv"
	"strings"

	"github.com/spf13/cobra"
)

// slopesCommand prints the growth of each benchmark figure with the workers.
func slopesCommand() *cobra.Command {
	return &cobra.Command{
		Use: "slopes", Short: "Read go test -bench output and print the growth with the number of workers",
		RunE: func(cmd *cobra.Command, _ []string) error { return slopes(cmd.InOrStdin(), cmd.OutOrStdout()) },
	}
}

var benchLine = regexp.MustCompile(`^Benchmark(\w+)/workers=(\d+)(?:-\d+)?\s+\d+\s+(.*)$`)

// point is a figure at a number of workers.
type point struct{ workers, value float64 }

func slopes(in io.Reader, out io.Writer) error {
	series, order := map[string][]point{}, []string{}
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		fmt.Fprintln(out, lines.Text())
		m := benchLine.FindStringSubmatch(lines.Text())
		if m == nil {
			continue
		}
		workers, _ := strconv.ParseFloat(m[2], 64)
		fields := strings.Fields(m[3])
		for i := 0; i+1 < len(fields); i += 2 {
			name := m[1] + " " + fields[i+1]
			value, err := strconv.ParseFloat(fields[i], 64)
			if err != nil {
				return err
			}
			if series[name] == nil {
				order = append(order, name)
			}
			series[name] = append(series[name], point{workers, value})
		}
	}
	for _, name := range order {
		if s, ok := slope(series[name]); ok {
			fmt.Fprintf(out, "slope %-28s workers^%.2f\n", name, s)
		}
	}
	return lines.Err()
}

// slope fits the exponent of a power law.
func slope(points []point) (float64, bool) {
	var n, sx, sy, sxx, sxy float64
	for _, p := range points {
		if p.value <= 0 {
			continue
		}
		x, y := math.Log(p.workers), math.Log(p.value)
		n, sx, sy, sxx, sxy = n+1, sx+x, sy+y, sxx+x*x, sxy+x*y
	}
	if n < 3 {
		return 0, false
	}
	return (n*sxy - sx*sy) / (n*sxx - sx*sx), true
}
