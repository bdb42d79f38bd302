package logsink

import (
	"bytes"
	stdlog "log"

	"github.com/apex/log"
)

// maxStandardBytes bounds a message of the standard logger. net/http quotes bytes that an endpoint sent.
const maxStandardBytes = 256

// CaptureStandard makes the default logger of the standard library write to l, at warn level. net/http reports there that an
// endpoint sent bytes after its response, and standard error has neither a bound nor a rate limit. The handler of l must not return
// errors, which apex/log would report to the same logger while it is locked.
func CaptureStandard(l log.Interface) {
	stdlog.SetFlags(0)
	stdlog.SetOutput(standardWriter{l})
}

type standardWriter struct{ log log.Interface }

// Write implements io.Writer.
func (w standardWriter) Write(p []byte) (int, error) {
	w.log.WithField("text", string(bytes.TrimSuffix(p[:min(len(p), maxStandardBytes)], []byte("\n")))).Warn("log: message of the standard library")
	return len(p), nil
}
