package yuccasettings

import (
	"fmt"
	"io"
	"log/slog"

	"github.com/yuccaturn/yuccaturn/yuccajsonc"
)

// Log is the settings section of the log.
type Log struct {
	// Format is text or json; empty means text.
	Format string `json:"format"`
	// Level is debug, info, warn or error; empty means info.
	Level string `json:"level"`
}

func (l *Log) check(d *yuccajsonc.Document) {
	if l.Format != "" && l.Format != "text" && l.Format != "json" {
		d.Report("log.format", fmt.Sprintf("is %q", l.Format), "text or json")
	}
	if _, err := l.parseLevel(); err != nil {
		d.Report("log.level", fmt.Sprintf("is %q", l.Level), "debug, info, warn or error")
	}
}

func (l *Log) parseLevel() (slog.Level, error) {
	var level slog.Level
	if l.Level == "" {
		return slog.LevelInfo, nil
	}
	err := level.UnmarshalText([]byte(l.Level))
	return level, err
}

// Logger returns a logger with the configured format and level that writes to w.
func (l *Log) Logger(w io.Writer) *slog.Logger {
	level, err := l.parseLevel()
	if err != nil {
		level = slog.LevelInfo
	}
	options := &slog.HandlerOptions{Level: level}
	if l.Format == "json" {
		return slog.New(slog.NewJSONHandler(w, options))
	}
	return slog.New(slog.NewTextHandler(w, options))
}
