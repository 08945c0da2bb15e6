package detour

import (
	"encoding/binary"
	"errors"
	"io"
	"math"
)

// Bytes of the upstream are sent in frames: their number in frameHeaderBytes, most significant
// byte first, and the bytes. An empty frame ends them. So the end of a node's process, which closes
// its connections in order, is not taken for the end of a response that has no length.
const (
	frameHeaderBytes = 2
	maxFrameBytes    = math.MaxUint16
)

// frameWriter writes bytes in frames.
type frameWriter struct {
	w io.Writer
	// frame is the buffer of the frame that is written, used again for the next one.
	frame []byte
}

// Write implements io.Writer.
func (f *frameWriter) Write(p []byte) (written int, err error) {
	for len(p) > 0 {
		part := p[:min(len(p), maxFrameBytes)]
		if err := f.writeFrame(part); err != nil {
			return written, err
		}
		written += len(part)
		p = p[len(part):]
	}
	return written, nil
}

// end writes the last frame.
func (f *frameWriter) end() error { return f.writeFrame(nil) }

// writeFrame writes up to maxFrameBytes in one frame.
func (f *frameWriter) writeFrame(p []byte) error {
	f.frame = binary.BigEndian.AppendUint16(f.frame[:0], uint16(len(p)))
	f.frame = append(f.frame, p...)
	_, err := f.w.Write(f.frame)
	return err
}

// frameReader reads the bytes of frames. After an error that is no end, such as a timeout, reads
// go on where they were.
type frameReader struct {
	r io.Reader
	// header holds the first headerRead bytes of the next frame's header.
	header     [frameHeaderBytes]byte
	headerRead int
	// left is the number of bytes of the present frame that are not read yet.
	left  int
	ended bool
}

// Read implements io.Reader. It returns io.EOF after the last frame, and io.ErrUnexpectedEOF if
// the connection ends before it.
func (f *frameReader) Read(p []byte) (int, error) {
	for f.left == 0 && !f.ended {
		if err := f.readHeader(); err != nil {
			return 0, err
		}
	}
	if f.ended {
		return 0, io.EOF
	}
	n, err := f.r.Read(p[:min(len(p), f.left)])
	f.left -= n
	if n > 0 {
		return n, nil
	}
	return 0, unexpectedEnd(err)
}

// readHeader reads some bytes of a frame's header, and begins the frame with the last one.
func (f *frameReader) readHeader() error {
	n, err := f.r.Read(f.header[f.headerRead:])
	f.headerRead += n
	if f.headerRead < frameHeaderBytes {
		return unexpectedEnd(err)
	}
	f.headerRead = 0
	f.left = int(binary.BigEndian.Uint16(f.header[:]))
	f.ended = f.left == 0
	return nil
}

// unexpectedEnd returns io.ErrUnexpectedEOF for io.EOF, and any other error as it is.
func unexpectedEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
