package logsink

import (
	stdlog "log"

	"github.com/apex/log"
)

// maxStandardBytes bounds a message of the standard logger. net/http quotes bytes that an endpoint sent.
const maxStandardBytes = 256

// CaptureStandard makes the default logger of the standard library write to l, at warn level. net/http reports there that an
// endpoint sent bytes after its response, and standard error has neither a bound nor a rate limit.
func CaptureStandard(l log.Interface) {
	stdlog.SetFlags(0)
	stdlog.SetOutput(standardWriter{l})
}

type standardWriter struct{ log log.Interface }

// Write implements io.Writer.
func (w standardWriter) Write(p []byte) (int, error) {
	w.log.WithField("text", string(p[:min(len(p), maxStandardBytes)])).Warn("log: message of the standard library")
	return len(p), nil
}
