package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
)

// Values that replace a value of a document. Each of them has another type than at least some of the fields.
var strayValues = []string{`null`, `true`, `-1`, `0.5`, `1e400`, `"text"`, `""`, `[]`, `[null]`, `{}`, `{"a":[{"a":[{}]}]}`, `18446744073709551616`}

// Texts that cannot be read, as they stand in a document.
var strayTexts = []string{"\"\xff\xfe\"", "\"a\xc3\"", `"\ud800"`, "\"\x01\"", `"\x"`, "\"\xed\xa0\x80\""}

// span is the place of a value in a document.
type span struct {
	from, to int
	text     bool // The value is a string.
	key      bool // The value follows a name, and does not stand in a list.
}

// spans returns the places of all values in a document that are neither objects nor lists.
func spans(document []byte) []span {
	var out []span
	d := json.NewDecoder(bytes.NewReader(document))
	d.UseNumber()
	for {
		t, err := d.Token()
		if err != nil {
			return out
		}
		to := int(d.InputOffset())
		var length int
		switch v := t.(type) {
		case string:
			length = len(v) + 2 // The documents have no escapes.
		case json.Number:
			length = len(v)
		case bool:
			length = len(strconv.FormatBool(v))
		default:
			continue
		}
		if to < len(document) && document[to] == ':' {
			continue // A name.
		}
		out = append(out, span{to - length, to, document[to-length] == '"', document[to-length-1] == ':'})
	}
}

// spoil makes a document malformed: it cuts it short, gives a field twice, or replaces a value by one of another type or by
// bytes that are no text.
func spoil(random *rand.Rand, document []byte) []byte {
	all := spans(document)
	s := all[random.IntN(len(all))]
	old := string(document[s.from:s.to])
	replaced := func(by string) []byte { return []byte(string(document[:s.from]) + by + string(document[s.to:])) }
	switch random.IntN(6) {
	case 0:
		return document[:1+random.IntN(len(document)-1)]
	case 1:
		if s.key {
			start := bytes.LastIndexByte(document[:s.from-2], '"') // Of the name.
			return []byte(string(document[:s.to]) + "," + string(document[start:]))
		}
		return replaced(`null`)
	case 2:
		return replaced(strayTexts[random.IntN(len(strayTexts))])
	case 3:
		return append(document[:len(document):len(document)], "}]"...)
	}
	for {
		by := strayValues[random.IntN(len(strayValues))]
		isText, isNumber := by[0] == '"', by[0] == '-' || by[0] >= '0' && by[0] <= '9'
		sameType := s.text && isText || !s.text && old[0] != 't' && old[0] != 'f' && isNumber || (old == "true" || old == "false") && by == "true"
		if !sameType {
			return replaced(by)
		}
	}
}

// instead returns a document with one of the changes, which are pairs of an old and a new text.
func instead(random *rand.Rand, document string, pairs [][2]string) []byte {
	p := pairs[random.IntN(len(pairs))]
	if !strings.Contains(document, p[0]) {
		panic("no such part of the document: " + p[0])
	}
	return []byte(strings.Replace(document, p[0], p[1], 1))
}

// Malformed configurations have versions from firstMalformed on, which no other configuration reaches, and a further field by which
// they are known again.
const (
	firstMalformed  = 1_000_000
	malformedMarker = "malformed-by-the-soak"
)

// badConfig returns a configuration that cannot be read in full or contradicts itself.
func badConfig(random *rand.Rand) []byte {
	document := fmt.Sprintf(`{"note":%q,"version":%d,"routes":[{"name":"a","host":%q,"path_prefix":"/p/","type":"non_idempotent","timeout_ms":3000,`+
		`"target_completion_ms":1000,"priority":1,"service":"s","max_attempts":2,"stretch":3.0,"public":false}],"services":[{"name":"s",`+
		`"health_path":"/health","max_conns":64,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0,"enforces_capacity":false,`+
		`"spare":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000},`+
		`"tenants":[{"name":"t","api_keys":["k1"],"priority":1,"guaranteed":{"gpus":72}},{"name":"u","api_keys":["k2"]}]}`,
		malformedMarker, firstMalformed+random.Int64N(firstMalformed), hostName)
	if random.IntN(2) == 0 {
		head := strings.Index(document, `"version"`) // The note may have any value.
		return append([]byte(document[:head]), spoil(random, []byte("{"+document[head:]))[1:]...)
	}
	return instead(random, document, [][2]string{
		{`"service":"s"`, `"service":"x"`}, {`"timeout_ms":3000`, `"timeout_ms":0`}, {`"k2"`, `"k1"`}, {`"limits"`, `"unlimited"`},
		{`"routes":[`, `"routes":[{"name":"b","host":"` + hostName + `","path_prefix":"/p/","timeout_ms":1,"service":"s"},`},
		{`"routes"`, `"paths"`}, {`"services"`, `"pools"`}, {`"version"`, `"VERSION"`}, {`"path_prefix":"/p/",`, ``}, {`"timeout_ms":3000,`, ``},
		{`"max_attempts":2`, `"max_attempts":-9223372036854775808`}, {`"gpus":72`, `"gpus":-1`}, {`"name":"s",`, ``}, {`"max_body_bytes":262144`, `"max_body_bytes":-1`},
	})
}

// badReport returns a report that names no worker to use, though its address is that of a listener.
func badReport(random *rand.Rand, address string) []byte {
	document := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z0","version":"v1","slots":8,"state":"ready","cold_left_ms":0,`+
		`"capacity":{"cpu":64000,"mem_mb":65536,"gpus":8},"labels":["a","r"],"clock_ms":482113,"sequence":4,"born":1788672542286}`, service, address)
	if random.IntN(2) == 0 {
		return spoil(random, []byte(document))
	}
	return instead(random, document, [][2]string{
		{`"ready"`, `"resting"`}, {`"service"`, `"SERVICE"`}, {`"zone"`, `"z"`}, {`"address"`, `"adress"`}, {`"capacity"`, `"room"`}, {`"sequence"`, `"n"`},
		{`"cpu":64000`, `"cpu":-64000`}, {`"cpu":64000`, `"cpu":9223372036854775808`}, {`"cpu":64000`, `"cpu":1e99`}, {`"gpus":8`, `"gpus":NaN`},
	})
}

// badJob returns a submission that no queue may accept.
func badJob(random *rand.Rand) []byte {
	const document = `{"spec":"work=100","steps":[{"count":1,"cpu":1000,"mem_mb":100,"gpus":1,"est_runtime_ms":100,"affinity":"r"},` +
		`{"count":2,"cpu":1000,"mem_mb":100,"depends_on":[0],"checkpointable":true,"gang":true,"constraints":"a","image":"i","may_miss":1,"anti_affinity":9}],` +
		`"repeat_count":1,"start_at_ms":1,"interval_ms":1}`
	if random.IntN(2) == 0 {
		return spoil(random, []byte(document))
	}
	return instead(random, document, [][2]string{
		{`[0]`, `[1]`}, {`[0]`, `[2]`}, {`[0]`, `[-1]`}, {`[0]`, `[2147483648]`}, {`"count":2`, `"count":-2`}, {`"count":2`, `"count":2147483648`},
		{`"count":2`, `"count":0`}, {`"cpu":1000`, `"cpu":-1`}, {`"cpu":1000`, `"cpu":NaN`}, {`"gpus":1`, `"gpus":Infinity`}, {`"gpus":1`, `"gpus":-1`},
		{`"repeat_count":1`, `"repeat_count":-1`}, {`"repeat_count":1`, `"repeat_count":2147483648`}, {`"interval_ms":1`, `"interval_ms":-1`},
		{`"may_miss":1`, `"may_miss":-1`}, {`"anti_affinity":9`, `"anti_affinity":-9`}, {`"est_runtime_ms":100`, `"est_runtime_ms":-9223372036854775808`},
		{`"image":"i"`, `"image":"i","x":` + strings.Repeat("[", 20_000)}, {`"work=100"`, "\"work=100\xff\""},
	})
}

// farJob returns a job whose occurrences are never due: they are later than any time that a clock shows.
func farJob(random *rand.Rand) []byte {
	const latest = math.MaxInt64
	times := pick(random, [][2]int64{{latest, 1}, {latest - 5, 3}, {latest / 2, latest}, {latest / 1000, latest / 1000}, {latest, 0}})
	return fmt.Appendf(nil, `{"spec":"work=100","steps":[{"count":1,"cpu":1000}],"repeat_count":%d,"start_at_ms":%d,"interval_ms":%d}`,
		1+random.IntN(100_000), times[0], times[1])
}

// oddReport returns a report that can be read, of a worker of an unknown service at which nobody listens.
func oddReport(random *rand.Rand, address string) []byte {
	return fmt.Appendf(nil, `{"service":"other","address":%q,"zone":"z0","version":"v1","slots":8,"state":"ready","cold_left_ms":0,"capacity":`+
		`{"cpu":%[2]d,"mem_mb":%[2]d,"gpus":%[2]d},"labels":["a"%[3]s],"clock_ms":%[2]d,"sequence":%[2]d,"born":%[2]d}`,
		address, pick(random, []int64{0, math.MaxInt64}), strings.Repeat(`,"\u0000"`, random.IntN(3_000)))
}

// badWave returns an order for the upkeep of machines that cannot be carried out.
func badWave(random *rand.Rand) []byte {
	document := fmt.Sprintf(`{"wave":%d,"machines":["m-1","m-2"],"within_s":20,"max_count":1}`, firstMalformed+random.IntN(firstMalformed))
	if random.IntN(2) == 0 {
		return spoil(random, []byte(document))
	}
	return instead(random, document, [][2]string{
		{`"max_count":1`, `"max_count":0`}, {`"within_s":20`, `"within_s":-1`}, {`"machines"`, `"boxes"`}, {`"m-2"`, `"m-\ud800"`}, {`"wave"`, `"WAVE"`},
	})
}

// Odd parts of paths and headers.
var (
	oddNames = []string{"%FF%FE", "%00", "a%0Ab", "..%2F..", "%2e%2e", "%ED%A0%80", strings.Repeat("x", 30_000), "%E2%80%AE", "-1", "1e400", "99999999999999999999", "."}
	oddTexts = []string{"\xff\xfe", strings.Repeat("k", 9_000), "-9223372036854775808", "9223372036854775807", "1e400", "NaN", "0", "\x80", "a:b:c"}
)

// badMessage returns a path and a message at the port between hosts that no host sends.
func badMessage(random *rand.Rand) (path string, message []byte) {
	path = []string{"Domain/Operate", "Domain/Call", "Domain/Locate", "Peer/Deliver", "Peer/Nothing"}[random.IntN(5)]
	cborDocuments := []string{"\xf6", "\x80", "\x81\xf6", "\x81\xa0", "\x81\xa1\x01\xf6", "\x62\xff\xfe", "\x9b\xff\xff\xff\xff\xff\xff\xff\xff", "\xbf\x01", "\xa1\x01\x62\xff\xfe", strings.Repeat("\x81", 5_000), "\xfb\x7f\xf8\x00\x00\x00\x00\x00\x00", "\xc2\x49"}
	document := cborDocuments[random.IntN(len(cborDocuments))]
	field := func(number byte, value string) string {
		return string(append([]byte{number<<3 | 2}, append([]byte{byte(len(value) | 0x80), byte(len(value) >> 7)}, value...)...))
	}
	switch random.IntN(5) {
	case 0: // Bytes without an order.
		for range random.IntN(200) {
			message = append(message, byte(random.IntN(256)))
		}
	case 1: // A kind of call, or none, with a document that does not fit.
		kinds := []byte{0, 1, 5, 6, 7, 8, 9, 10, 127}
		message = []byte(string([]byte{1 << 3, kinds[random.IntN(len(kinds))]}) + field(5, document) + field(3, document))
	case 2:
		message = []byte(field(1, "127.0.0.1") + field(2, document))
	case 3:
		message = []byte(field(1, "\xff\xfe") + field(2, strings.Repeat("z", 1_000)) + "\xff")
	default:
		message = []byte(`{"kind":99,"document":null,"payloads":["9v8="]}`)
	}
	return path, message
}
