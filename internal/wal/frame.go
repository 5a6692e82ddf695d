package wal

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
	"math"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/mustardwalk/mustardwalk/internal/replica"
)

// A frame consists of frameMagic, the length of the payload and a CRC-32C, each 4 bytes, the numbers in little endian,
// and the payload. The checksum covers the offset of the frame in the file, the length and the payload. Because it
// covers the offset, a copy of a frame inside the payload of another frame is not taken for a frame.
const (
	frameMagic      = "\xf5mwL"
	frameHeaderSize = 12
	maxPayload      = math.MaxInt32
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// formatVersion is the version of the file format.
const formatVersion = 1

// identityRecord is the payload of the first frame: the identity of the data folder.
type identityRecord struct {
	Version     uint64 `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// decodeMode raises the limits on elements, because a record may hold many entries, and refuses duplicate map keys.
var decodeMode = newDecodeMode()

func newDecodeMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxArrayElements: math.MaxInt32,
		MaxMapPairs:      math.MaxInt32,
	}.DecMode()
	if err != nil {
		panic(eris.Wrap(err, "CBOR decoding options"))
	}
	return mode
}

// appendFrame appends a frame to the buffer. offset is the position that the frame will have in the file.
func appendFrame(buffer []byte, offset int64, payload []byte) ([]byte, error) {
	if len(payload) > maxPayload {
		return nil, eris.Errorf("record of %d bytes is larger than %d", len(payload), maxPayload)
	}
	buffer = append(buffer, frameMagic...)
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(payload)))
	buffer = binary.LittleEndian.AppendUint32(buffer, checksum(offset, payload))
	return append(buffer, payload...), nil
}

func checksum(offset int64, payload []byte) uint32 {
	var head [12]byte
	binary.LittleEndian.PutUint64(head[:8], uint64(offset))
	binary.LittleEndian.PutUint32(head[8:], uint32(len(payload)))
	sum := crc32.Update(0, castagnoli, head[:])
	return crc32.Update(sum, castagnoli, payload)
}

// frameAt returns the payload of the frame at an offset and the offset after it. ok is false if there is no whole,
// undamaged frame.
func frameAt(data []byte, offset int) (payload []byte, next int, ok bool) {
	rest := data[offset:]
	if len(rest) < frameHeaderSize || string(rest[:4]) != frameMagic {
		return nil, 0, false
	}
	length := int64(binary.LittleEndian.Uint32(rest[4:8]))
	if length > int64(len(rest)-frameHeaderSize) {
		return nil, 0, false
	}
	payload = rest[frameHeaderSize : frameHeaderSize+int(length)]
	if checksum(int64(offset), payload) != binary.LittleEndian.Uint32(rest[8:12]) {
		return nil, 0, false
	}
	return payload, offset + frameHeaderSize + int(length), true
}

// wholeFrameAfter returns the offset of the first whole frame that begins after the given offset.
func wholeFrameAfter(data []byte, offset int) (int, bool) {
	for offset++; offset < len(data); offset++ {
		i := bytes.Index(data[offset:], []byte(frameMagic))
		if i < 0 {
			return 0, false
		}
		offset += i
		if _, _, ok := frameAt(data, offset); ok {
			return offset, true
		}
	}
	return 0, false
}

// splitFrames returns the payloads of the whole frames and the offset after the last one. Each Append writes one frame
// and syncs it before the next one, so that only the last frame can be torn. Damage before a whole frame is therefore
// an error.
func splitFrames(data []byte) (payloads [][]byte, end int, err error) {
	for end < len(data) {
		payload, next, ok := frameAt(data, end)
		if !ok {
			break
		}
		payloads = append(payloads, payload)
		end = next
	}
	if at, found := wholeFrameAfter(data, end); found {
		return nil, 0, eris.Errorf("damaged record at offset %d in front of a whole record at offset %d", end, at)
	}
	return payloads, end, nil
}

// decodeIdentity decodes the payload of the first frame and returns the incarnation.
func decodeIdentity(payload []byte) (uint64, error) {
	var id identityRecord
	if err := decodeMode.Unmarshal(payload, &id); err != nil {
		return 0, eris.Wrap(err, "decoding the identity")
	}
	if id.Version != formatVersion {
		return 0, eris.Errorf("file format version %d, supported is %d", id.Version, formatVersion)
	}
	if id.Incarnation == 0 {
		return 0, eris.New("the identity has no incarnation")
	}
	return id.Incarnation, nil
}

// decodeRecords decodes the payload of a frame after the first one.
func decodeRecords(payload []byte) ([]replica.Record, error) {
	var records []replica.Record
	if err := decodeMode.Unmarshal(payload, &records); err != nil {
		return nil, eris.Wrap(err, "decoding records")
	}
	return records, nil
}

// applyRecords applies records to the state of their groups. A gap before or between the entries of a record is an
// error.
func applyRecords(groups map[replica.GroupID]*replica.Restored, records []replica.Record) error {
	for _, rec := range records {
		x := groups[rec.Group]
		if x == nil {
			x = &replica.Restored{}
			groups[rec.Group] = x
		}
		if err := checkContinuity(x, rec); err != nil {
			return eris.Wrapf(err, "group %s", rec.Group)
		}
		x.Apply(rec)
	}
	return nil
}

// checkContinuity returns an error if the entries of a record leave a gap in the log of the group.
func checkContinuity(x *replica.Restored, rec replica.Record) error {
	if len(rec.Entries) == 0 {
		return nil
	}
	last := x.LastIndex()
	if rec.Snapshot != nil {
		last = max(last, rec.Snapshot.Index)
	}
	if first := rec.Entries[0].Index; first == 0 || first > last+1 {
		return eris.Errorf("entry %d does not follow entry %d", first, last)
	}
	for i, e := range rec.Entries {
		if e.Index != rec.Entries[0].Index+uint64(i) {
			return eris.Errorf("entry %d where %d is expected", e.Index, rec.Entries[0].Index+uint64(i))
		}
	}
	return nil
}
