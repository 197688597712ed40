package yuccadisk

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"google.golang.org/protobuf/proto"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// A frame consists of the magic, the length of the payload and its CRC-32C (both
// little-endian uint32), and the payload, an encoded DiskFrame.
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
	buf := make([]byte, headerBytes, headerBytes+proto.Size(frame))
	copy(buf, magic)
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, frame)
	if err != nil {
		return nil, err
	}
	payload := buf[headerBytes:]
	binary.LittleEndian.PutUint32(buf[magicBytes:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(buf[magicBytes+4:], crc32.Checksum(payload, castagnoli))
	return buf, nil
}

// decodeFrame decodes the frame at the start of data and returns it with its size
// in bytes. It returns nil if the frame is incomplete or damaged.
func decodeFrame(data []byte) (*yuccawire.DiskFrame, int) {
	if len(data) < headerBytes || !bytes.Equal(data[:magicBytes], magic) {
		return nil, 0
	}
	size := int(binary.LittleEndian.Uint32(data[magicBytes:]))
	if size > maxFrameBytes || size > len(data)-headerBytes {
		return nil, 0
	}
	payload := data[headerBytes : headerBytes+size]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(data[magicBytes+4:]) {
		return nil, 0
	}
	frame := new(yuccawire.DiskFrame)
	if err := proto.Unmarshal(payload, frame); err != nil {
		return nil, 0
	}
	return frame, headerBytes + size
}

// containsValidFrame reports whether a valid frame starts anywhere in data.
func containsValidFrame(data []byte) bool {
	for {
		start := bytes.Index(data, magic)
		if start < 0 {
			return false
		}
		if frame, _ := decodeFrame(data[start:]); frame != nil {
			return true
		}
		data = data[start+1:]
	}
}
