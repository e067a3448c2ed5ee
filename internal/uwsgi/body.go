package uwsgi

import "io"

// initialBodySize of memory is allocated at once for a body.
const initialBodySize = 16 << 10

// ReadBody reads a body of size bytes. Memory is allocated as it comes, as the peer's word on the size may be false. The
// error is that of io.ReadFull.
func ReadBody(in io.Reader, size int64) ([]byte, error) {
	body := make([]byte, min(size, initialBodySize))
	for read := int64(0); ; {
		n, err := io.ReadFull(in, body[read:])
		read += int64(n)
		if err != nil {
			return nil, err
		}
		if read == size {
			return body, nil
		}
		body = append(body, make([]byte, min(size-read, read))...)
	}
}
