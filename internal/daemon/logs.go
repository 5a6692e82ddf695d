package daemon

import (
	"io"
	"log/slog"

	"github.com/go-logr/logr"
)

// logLevels holds the values of the setting --log-level.
var logLevels = map[string]slog.Level{
	"error": slog.LevelError,
	"info":  slog.LevelInfo,
	"debug": slog.LevelDebug,
}

// NewLog returns a log that writes each event as one line of key=value pairs.
func NewLog(w io.Writer, level string) logr.Logger {
	h := slog.NewTextHandler(w, &slog.HandlerOptions{Level: logLevels[level], ReplaceAttr: nameDebugLevel})
	return logr.FromSlogHandler(h)
}

// nameDebugLevel writes all levels below INFO as DEBUG. The verbosity levels of logr lie between the named levels of
// slog, which would print them as an offset.
func nameDebugLevel(groups []string, a slog.Attr) slog.Attr {
	level, isLevel := a.Value.Any().(slog.Level)
	if len(groups) == 0 && a.Key == slog.LevelKey && isLevel && level < slog.LevelInfo {
		return slog.String(slog.LevelKey, slog.LevelDebug.String())
	}
	return a
}
