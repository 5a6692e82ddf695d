package capacity

import (
	"bytes"
	"encoding/binary"
	"io"
)

// Constants of HTTP/2 framing that are needed to find request bodies (RFC 9113 sections 3.4, 4.1 and 6.1). Headers are
// not decoded; they count among the bytes of the connection.
const (
	preface         = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
	frameHeaderSize = 9   // Length of the header of a frame in bytes.
	frameData       = 0   // Type of DATA frames.
	flagEndStream   = 0x1 // END_STREAM
	flagPadded      = 0x8 // PADDED
	frameHeaders    = 1   // Type of HEADERS frames.
)

// bodyReader reads the request bodies of an HTTP/2 connection. It collects the frames of each stream separately, because
// those of concurrent requests are interleaved.
type bodyReader struct {
	in      io.Reader
	streams map[uint32]*bytes.Buffer
}

func newBodyReader(in io.Reader) *bodyReader {
	return &bodyReader{in: in, streams: map[uint32]*bytes.Buffer{}}
}

// next returns the body of the next request that is complete, or the error of the connection.
func (b *bodyReader) next() ([]byte, error) {
	for {
		var header [frameHeaderSize]byte
		if _, err := io.ReadFull(b.in, header[:]); err != nil {
			return nil, err
		}
		length := int(header[0])<<16 | int(header[1])<<8 | int(header[2])
		kind, flags := header[3], header[4]
		stream := binary.BigEndian.Uint32(header[5:]) & 0x7fffffff
		payload := make([]byte, length)
		if _, err := io.ReadFull(b.in, payload); err != nil {
			return nil, err
		}
		if kind != frameData && kind != frameHeaders {
			continue
		}
		if b.streams[stream] == nil {
			b.streams[stream] = &bytes.Buffer{}
		}
		if kind == frameData {
			b.streams[stream].Write(removePadding(payload, flags))
		}
		if flags&flagEndStream != 0 {
			body := b.streams[stream].Bytes()
			delete(b.streams, stream)
			return body, nil
		}
	}
}

// removePadding returns the data of a DATA frame without its padding.
func removePadding(payload []byte, flags byte) []byte {
	if flags&flagPadded == 0 || len(payload) == 0 {
		return payload
	}
	return payload[1:max(1, len(payload)-int(payload[0]))]
}
