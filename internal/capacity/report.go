package capacity

import (
	"encoding/csv"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"

	"github.com/rotisserie/eris"
)

// Limits of one daemon at the target size (docs/design.md section 1.4): percent of a core, MB of memory and bytes a
// second.
const (
	targetCPUPercent = 1.1
	targetMB         = 64
	targetBytes      = 6000
)

// quantities lists the columns of the CSV files of scenarios, in order.
var quantities = []string{cpuPercent, rssMB, peakMB, totalBytes, peerSent, peerReceived, peerBodies, metricBytes, peerRequests,
	reports, reportBytes, reportBodies, connections, calls, syncs, entries}

var roles = []string{roleDeploymentLeader, roleCellLeader, roleWitness, roleFollower, roleEntry}

var scenarios = []string{scenarioHosts, scenarioWorkers, scenarioContracts, scenarioTasks, scenarioChanges}

// write writes one CSV file for each scenario, one for the kinds of messages and one for restarts.
func (r *results) write(folder string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return eris.Wrap(err, "create folder")
	}
	for _, s := range scenarios {
		lines := [][]string{append([]string{"size", "host", "role", "seconds"}, quantities...)}
		for _, row := range r.rowsOf(s) {
			line := []string{formatNumber(row.Size), row.Host, row.Role, formatNumber(row.Seconds)}
			for _, q := range quantities {
				line = append(line, formatNumber(row.Values[q]))
			}
			lines = append(lines, line)
		}
		if err := writeCSV(filepath.Join(folder, s+".csv"), lines); err != nil {
			return err
		}
	}
	kinds := [][]string{{"scenario", "size", "host", "role", "kind", "messages_per_second", "payload_bytes_per_second"}}
	for _, row := range r.Rows {
		for _, k := range slices.Sorted(maps.Keys(row.Messages)) {
			if row.Messages[k] == 0 {
				continue
			}
			kinds = append(kinds, []string{row.Scenario, formatNumber(row.Size), row.Host, row.Role, k,
				formatNumber(row.Messages[k]), formatNumber(row.Payload[k])})
		}
	}
	if err := writeCSV(filepath.Join(folder, "messages.csv"), kinds); err != nil {
		return err
	}
	lines := [][]string{{"after", "entries", "store_bytes", "seconds"}}
	for _, x := range r.Restarts {
		lines = append(lines, []string{x.After, formatNumber(x.Entries), formatNumber(x.StoreBytes), formatNumber(x.Seconds)})
	}
	return writeCSV(filepath.Join(folder, "restarts.csv"), lines)
}

func formatNumber(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

func writeCSV(path string, lines [][]string) error {
	file, err := os.Create(path)
	if err != nil {
		return eris.Wrap(err, "create results")
	}
	w := csv.NewWriter(file)
	err = w.WriteAll(lines)
	if closing := file.Close(); err == nil {
		err = closing
	}
	return eris.Wrap(err, "write results")
}

// rowsOf returns the rows of a scenario.
func (r *results) rowsOf(scenario string) []hostRow {
	var out []hostRow
	for _, row := range r.Rows {
		if row.Scenario == scenario {
			out = append(out, row)
		}
	}
	return out
}

// rowsAt returns the rows of a scenario at one size.
func (r *results) rowsAt(scenario string, size float64) []hostRow {
	return slices.DeleteFunc(r.rowsOf(scenario), func(row hostRow) bool { return row.Size != size })
}

// sizesOf returns the sizes of the rows without repetitions, in order of measurement.
func sizesOf(rows []hostRow) []float64 {
	var out []float64
	for _, row := range rows {
		if !slices.Contains(out, row.Size) {
			out = append(out, row.Size)
		}
	}
	return out
}

// print writes the tables of slopes.
func (r *results) print(out io.Writer) error {
	for _, s := range scenarios {
		if err := r.printScenario(out, s); err != nil {
			return err
		}
	}
	fmt.Fprint(out, "\n### At the target size\n\n")
	r.printTarget(out)
	fmt.Fprint(out, "\n### Restarts\n\n| after | entries applied | record file, KB | seconds |\n| --- | --- | --- | --- |\n")
	for _, x := range r.Restarts {
		fmt.Fprintf(out, "| %s | %.0f | %.0f | %.2f |\n", x.After, x.Entries, x.StoreBytes/1000, x.Seconds)
	}
	return nil
}

// printScenario prints the fitted lines and the kinds of messages of a scenario.
func (r *results) printScenario(out io.Writer, scenario string) error {
	fmt.Fprintf(out, "\n### Slopes: %s\n\n", scenario)
	if err := r.printSlopes(out, scenario); err != nil {
		return err
	}
	fmt.Fprintln(out)
	r.printKinds(out, scenario)
	return nil
}

// slopeQuantities lists the quantities that lines are fitted to.
var slopeQuantities = []string{cpuPercent, rssMB, totalBytes, peerRequests}

// printSlopes prints, for all hosts and for each role, the means at each size and the line fitted to them.
func (r *results) printSlopes(out io.Writer, scenario string) error {
	rows := r.rowsOf(scenario)
	sizes := sizesOf(rows)
	if len(sizes) < 2 {
		fmt.Fprintln(out, "not measured")
		return nil
	}
	fmt.Fprint(out, "| role | quantity |")
	for _, x := range sizes {
		fmt.Fprintf(out, " %g |", x)
	}
	fmt.Fprint(out, " base | slope | R² |\n| --- | --- |")
	for range len(sizes) + 3 {
		fmt.Fprint(out, " --- |")
	}
	fmt.Fprintln(out)
	for _, role := range append([]string{"mean of all"}, roles...) {
		for _, q := range slopeQuantities {
			points := r.points(scenario, role, q)
			if len(points) != len(sizes) {
				continue // No host had the role at some size.
			}
			line, err := Fit(points)
			if err != nil {
				return err
			}
			fmt.Fprintf(out, "| %s | %s |", role, q)
			for _, p := range points {
				fmt.Fprintf(out, " %.4g |", p.Y)
			}
			fmt.Fprintf(out, " %.4g | %.4g | %.2f |\n", line.Base, line.Slope, line.R2)
		}
	}
	return nil
}

// points returns the means of a quantity over the hosts of a role, or over all hosts, at each size that has such hosts.
func (r *results) points(scenario, role, quantity string) []Point {
	rows := r.rowsOf(scenario)
	var out []Point
	for _, x := range sizesOf(rows) {
		rowsAt := r.rowsAt(scenario, x)
		if role != "mean of all" {
			rowsAt = slices.DeleteFunc(rowsAt, func(h hostRow) bool { return h.Role != role })
		}
		if len(rowsAt) > 0 {
			out = append(out, Point{X: x, Y: mean(rowsAt, value(quantity))})
		}
	}
	return out
}

// printKinds prints, for each kind, the messages that a host sends a second on average, and their bytes.
func (r *results) printKinds(out io.Writer, scenario string) {
	rows := r.rowsOf(scenario)
	sizes := sizesOf(rows)
	fmt.Fprintf(out, "| %s: messages (payload bytes) a second and host |", scenario)
	for _, x := range sizes {
		fmt.Fprintf(out, " %g |", x)
	}
	fmt.Fprint(out, "\n| --- |")
	for range sizes {
		fmt.Fprint(out, " --- |")
	}
	fmt.Fprintln(out)
	for _, k := range kindsOf(rows) {
		fmt.Fprintf(out, "| %s |", k)
		for _, x := range sizes {
			rowsAt := r.rowsAt(scenario, x)
			n := mean(rowsAt, func(h hostRow) float64 { return h.Messages[k] })
			b := mean(rowsAt, func(h hostRow) float64 { return h.Payload[k] })
			fmt.Fprintf(out, " %.2f (%.0f) |", n, b)
		}
		fmt.Fprintln(out)
	}
	fmt.Fprint(out, "| HTTP headers and receipts, bytes |")
	for _, x := range sizes {
		rowsAt := r.rowsAt(scenario, x)
		fmt.Fprintf(out, " %.0f |", mean(rowsAt, value(peerSent))-mean(rowsAt, value(peerBodies)))
	}
	fmt.Fprint(out, "\n\n")
}

// printTarget prints the means of each role in the last window of the tasks scenario, in which the deployment has the
// hosts, workers, contracts and tasks of the target size.
func (r *results) printTarget(out io.Writer) {
	rows := r.rowsAt(scenarioTasks, float64(taskSizes[len(taskSizes)-1]))
	fmt.Fprintf(out, "| role | hosts | processor, %% of a core (limit %g) | memory, MB (limit %d) | peak, MB | bytes a second, sent + received (limit %d) |"+
		" of these between hosts | of these reports of endpoints | requests to hosts a second | reports a second |\n", targetCPUPercent, targetMB, targetBytes)
	fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, role := range roles {
		n := 0
		for _, row := range rows {
			if row.Role == role {
				n++
			}
		}
		if n == 0 {
			continue
		}
		of := func(q string) float64 { return byRole(rows, value(q))[role] }
		fmt.Fprintf(out, "| %s | %d | %.2f | %.0f | %.0f | %.0f | %.0f | %.0f | %.1f | %.1f |\n", role, n, of(cpuPercent), of(rssMB), of(peakMB),
			of(totalBytes), of(peerSent)+of(peerReceived), of(reportBytes), of(peerRequests), of(reports))
	}
}
