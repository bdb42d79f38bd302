// Package delta compresses values, on their own or as the difference to an earlier value that the receiver has.
//
// The package is pure: it reads no clock and does no I/O.
package delta

import (
	"errors"
	"fmt"

	"github.com/klauspost/compress/zstd"
)

const (
	// MaxValueBytes bounds the size of a decoded value. It is well above that of an object of the store.
	MaxValueBytes = 8 << 20
	// minWindowBytes is the smallest window that the encoder accepts, maxWindowBytes the largest that the decoder does.
	minWindowBytes, maxWindowBytes = 1 << 10, MaxValueBytes
	// dictionaryID identifies the base of a difference. Each message has one base, so a constant suffices.
	dictionaryID = 1
)

// ErrMalformed means that compressed data cannot be decoded, or was made with another base.
var ErrMalformed = errors.New("delta: malformed compressed value")

// Encode compresses a value. If base is not empty, the result contains only what differs from it.
func Encode(base, value []byte) ([]byte, error) {
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithEncoderCRC(true), zstd.WithWindowSize(windowBytes(len(base) + len(value))),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	e, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("delta: encoder for %d bytes: %w", len(value), err)
	}
	defer e.Close()
	return e.EncodeAll(value, nil), nil
}

// Decode returns the value of which Encode made data with the same base.
func Decode(base, data []byte) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(MaxValueBytes), zstd.WithDecoderMaxWindow(maxWindowBytes),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	d, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("delta: decoder: %w", err)
	}
	defer d.Close()
	value, err := d.DecodeAll(data, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return value, nil
}

// windowBytes returns the smallest window, a power of two, that covers n bytes.
func windowBytes(n int) int {
	w := minWindowBytes
	for w < n && w < maxWindowBytes {
		w *= 2
	}
	return w
}
