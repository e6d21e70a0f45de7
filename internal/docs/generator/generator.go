// Package generator writes the pages under docs/ that are generated from tables in the code.
package generator

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/currantrouter/currantrouter/internal/config/loader"
	"github.com/currantrouter/currantrouter/internal/operator/commander"
	"github.com/currantrouter/currantrouter/internal/plan/importer"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// ErrStale means that a page differs from the one generated from its table.
var ErrStale = errors.New("generated page is stale; run go run ./cmd/currantdocs")

// Page is a generated file.
type Page struct {
	// Path is relative to the root of the repository.
	Path    string
	Content []byte
}

// Pages returns all generated pages.
func Pages() []Page {
	return []Page{
		{Path: filepath.Join("docs", "events.md"), Content: events()},
		{Path: filepath.Join("docs", "metrics.md"), Content: metrics()},
		{Path: filepath.Join("docs", "configuration.md"), Content: settings()},
		{Path: filepath.Join("docs", "sheet.md"), Content: sheet()},
	}
}

// Write writes all pages to their paths below the root directory.
func Write(root string) error {
	for _, pg := range Pages() {
		if err := os.WriteFile(filepath.Join(root, pg.Path), pg.Content, 0o644); err != nil {
			return err
		}
	}
	return nil
}

// Check returns ErrStale when a page below the root directory differs from the generated one.
func Check(root string) error {
	for _, pg := range Pages() {
		got, err := os.ReadFile(filepath.Join(root, pg.Path))
		if err != nil {
			return err
		}
		if !bytes.Equal(got, pg.Content) {
			return fmt.Errorf("%s: %w", pg.Path, ErrStale)
		}
	}
	return nil
}

func events() []byte {
	var bf bytes.Buffer
	bf.WriteString("# Log events\n\nGenerated from `internal/telemetry/logger` by `go run ./cmd/currantdocs`.\n\n")
	bf.WriteString("| Number | Title | Severity | Meaning |\n|---|---|---|---|\n")
	for _, ev := range logger.Catalogue {
		fmt.Fprintf(&bf, "| %d | %s | %s | %s |\n", ev.Number, escapeCell(ev.Title), ev.Severity, escapeCell(ev.Meaning))
	}
	return bf.Bytes()
}

func metrics() []byte {
	var bf bytes.Buffer
	bf.WriteString("# Metrics\n\nGenerated from `internal/telemetry/meter` by `go run ./cmd/currantdocs`.\n")
	bf.WriteString("`GET /debug/vars` on the operators' address returns them as one JSON object, with callers' jobs `GET /metrics`.\nA time is an object with `Count`, `P50`, `P90`, `P99` and `Max`.\n\n")
	bf.WriteString("| Name | Unit | Meaning |\n|---|---|---|\n")
	for _, mt := range slices.Concat(meter.Metrics, meter.Timers) {
		fmt.Fprintf(&bf, "| %s | %s | %s |\n", mt.Name, mt.Unit, escapeCell(mt.Help))
	}
	return bf.Bytes()
}

func settings() []byte {
	var bf bytes.Buffer
	bf.WriteString("# Settings of currantd\n\nGenerated from `internal/config/loader` by `go run ./cmd/currantdocs`.\n")
	bf.WriteString("`--settings FILE` names an INI file. Each setting has a flag, which overrides the file.\n")
	bf.WriteString("`--check` checks the settings and exits.\n\n")
	bf.WriteString("| Section | Key | Flag | Default | With `--standalone` | Allowed | Meaning |\n|---|---|---|---|---|---|---|\n")
	for _, row := range loader.Table {
		fmt.Fprintf(&bf, "| %s | %s | `--%s` | %s | %s | %s | %s |\n", row.Section, row.Key, row.Flag(),
			escapeCell(row.Default), escapeCell(row.Standalone), escapeCell(row.Allowed), escapeCell(row.Description))
	}
	return bf.Bytes()
}

func sheet() []byte {
	var bf bytes.Buffer
	bf.WriteString("# The day's sheet\n\nGenerated from `internal/plan/importer` and `internal/operator/commander` by `go run ./cmd/currantdocs`.\n")
	bf.WriteString("The sheet is CSV with a comma or semicolon between fields. `currantctl plan import SHEET` imports it,\n")
	bf.WriteString("and with `--dry-run` only checks and compares it. `examples/day.csv` is an example.\n\n## Columns\n\n")
	bf.WriteString("The first line names all of these; their order is free.\n\n")
	for _, col := range importer.Columns {
		fmt.Fprintf(&bf, "- `%s`\n", col)
	}
	bf.WriteString("\n## Checks\n\nA sheet with an error is refused as a whole. A warning only tells how a value was read.\n\n")
	bf.WriteString("| Number | Title | Severity | Allowed |\n|---|---|---|---|\n")
	for _, chk := range importer.Checks {
		fmt.Fprintf(&bf, "| %d | %s | %s | %s |\n", chk.Number, escapeCell(chk.Title), chk.Severity, escapeCell(chk.Text))
	}
	bf.WriteString("\n## Exit codes of currantctl\n\n| Code | Title | Meaning |\n|---|---|---|\n")
	for _, ex := range commander.Exits {
		fmt.Fprintf(&bf, "| %d | %s | %s |\n", ex.Code, ex.Title, escapeCell(ex.Text))
	}
	return bf.Bytes()
}

func escapeCell(text string) string { return strings.ReplaceAll(text, "|", "\\|") }
