package yuccadisk

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"google.golang.org/protobuf/proto"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// A frame is the magic, the length and the checksum of its payload, and the
// payload: an encoded DiskFrame. Numbers are little-endian.
const (
	magicBytes    = 8
	headerBytes   = magicBytes + 4 + 4
	maxFrameBytes = 1 << 30
)

var (
	magic      = []byte("yuccafr1")
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

func encodeFrame(frame *yuccawire.DiskFrame) ([]byte, error) {
	out := make([]byte, headerBytes, headerBytes+proto.Size(frame))
	copy(out, magic)
	out, err := proto.MarshalOptions{}.MarshalAppend(out, frame)
	if err != nil {
		return nil, err
	}
	payload := out[headerBytes:]
	binary.LittleEndian.PutUint32(out[magicBytes:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(out[magicBytes+4:], crc32.Checksum(payload, castagnoli))
	return out, nil
}

// decodeFrame reads the frame at the start of the text. It returns nil where
// there is no sound one.
func decodeFrame(text []byte) (*yuccawire.DiskFrame, int) {
	if len(text) < headerBytes || !bytes.Equal(text[:magicBytes], magic) {
		return nil, 0
	}
	size := int(binary.LittleEndian.Uint32(text[magicBytes:]))
	if size > maxFrameBytes || size > len(text)-headerBytes {
		return nil, 0
	}
	payload := text[headerBytes : headerBytes+size]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(text[magicBytes+4:]) {
		return nil, 0
	}
	frame := new(yuccawire.DiskFrame)
	if err := proto.Unmarshal(payload, frame); err != nil {
		return nil, 0
	}
	return frame, headerBytes + size
}

// soundFrameIn tells whether a sound frame starts anywhere in the text.
func soundFrameIn(text []byte) bool {
	for {
		at := bytes.Index(text, magic)
		if at < 0 {
			return false
		}
		if frame, _ := decodeFrame(text[at:]); frame != nil {
			return true
		}
		text = text[at+1:]
	}
}
