package history

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"

	"github.com/rotisserie/eris"
)

// maxLine bounds one record of a history file, in bytes.
const maxLine = 1 << 20

// Read reads a history of one JSON object per line. A last line without a line end is skipped, because its process was
// killed while it wrote the line.
func Read(r io.Reader) ([]Event, error) {
	var events []Event
	buffered := bufio.NewReaderSize(r, maxLine)
	for number := 1; ; number++ {
		line, err := buffered.ReadSlice('\n')
		if err == io.EOF {
			return events, nil
		}
		if err != nil {
			return nil, eris.Wrapf(err, "line %d", number)
		}
		if len(bytes.TrimSpace(line)) == 0 {
			continue
		}
		var e Event
		if err := json.Unmarshal(line, &e); err != nil {
			return nil, eris.Wrapf(err, "line %d", number)
		}
		events = append(events, e)
	}
}

// Merge merges histories by time. Events of equal time keep the order of the arguments.
func Merge(histories ...[]Event) []Event {
	merged := slices.Concat(histories...)
	slices.SortStableFunc(merged, func(a, b Event) int {
		switch {
		case a.Time < b.Time:
			return -1
		case a.Time > b.Time:
			return 1
		}
		return 0
	})
	return merged
}
