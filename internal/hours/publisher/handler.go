package publisher

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"html/template"
	"net/http"
	"path"
	"strings"
	"time"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
)

//go:embed page.html
var pageSource string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"chart": newChart,
	"note":  func(hr Hour) string { return hr.Note() },
	"label": func(hr Hour) string { return hr.Label() },
}).Parse(pageSource))

// contentSecurityPolicy allows only inline styles.
const contentSecurityPolicy = "default-src 'none'; style-src 'unsafe-inline'; base-uri 'none'; form-action 'none'; frame-ancestors 'none'"

// currentDayPath is the last path element of the page of the current day.
const currentDayPath = "hours"

// templateData is the input of pageTemplate.
type templateData struct {
	*Page
	// Previous and Next are the adjacent days.
	Previous, Next string
	// Base is the prefix of links to days, relative to the page.
	Base string
}

// ServeHTTP serves GET and HEAD requests. A path that ends in "hours" or in a day returns the HTML
// page, and one that ends in a day with ".json" returns JSON. The handler is public.
func (pb *Publisher) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	if rq.Method != http.MethodGet && rq.Method != http.MethodHead {
		wr.Header().Set("Allow", "GET, HEAD")
		writeError(wr, http.StatusMethodNotAllowed, "MethodNotAllowed", "only GET and HEAD are allowed")
		return
	}
	day, asJSON := strings.CutSuffix(path.Base(rq.URL.Path), ".json")
	base := ""
	if day == currentDayPath {
		day = pb.Today()
		if !strings.HasSuffix(rq.URL.Path, "/") {
			base = currentDayPath + "/"
		}
	}
	pg, err := pb.Page(rq.Context(), day)
	if err != nil {
		writeError(wr, http.StatusNotFound, "NoSuchDay", ErrInvalidDay.Error())
		return
	}
	body, contentType, err := pg.render(asJSON, base)
	if err != nil {
		writeError(wr, http.StatusInternalServerError, "Internal", "the page could not be rendered")
		return
	}
	hd := wr.Header()
	hd.Set("Content-Type", contentType)
	hd.Set("Cache-Control", "public, max-age=10")
	hd.Set("Content-Security-Policy", contentSecurityPolicy)
	hd.Set("X-Content-Type-Options", "nosniff")
	// A write fails only if the client has disconnected.
	_, _ = wr.Write(body)
}

func (pg *Page) render(asJSON bool, base string) (body []byte, contentType string, err error) {
	if asJSON {
		body, err = json.Marshal(pg)
		return body, "application/json; charset=utf-8", err
	}
	var bf bytes.Buffer
	err = pageTemplate.Execute(&bf, templateData{Page: pg, Previous: addDays(pg.Day, -1), Next: addDays(pg.Day, 1), Base: base})
	return bf.Bytes(), "text/html; charset=utf-8", err
}

func addDays(day string, days int) string {
	at, err := time.Parse(time.DateOnly, day)
	if err != nil {
		return day
	}
	return at.AddDate(0, 0, days).Format(time.DateOnly)
}

func writeError(wr http.ResponseWriter, status int, code, message string) {
	wr.Header().Set("Content-Type", "application/json; charset=utf-8")
	wr.WriteHeader(status)
	// A write fails only if the client has disconnected.
	_ = json.NewEncoder(wr).Encode(modeler.Failure{Code: code, Message: message})
}

// Dimensions of the chart, in units of the SVG view box.
const (
	barPitch    = 12
	barWidth    = 10
	chartHeight = 48
)

// chart has a bar for each hour. The height of a bar shows the number of calls and its colour the
// state.
type chart struct {
	Width, Height int
	Bars          []bar
}

type bar struct {
	X, Y, Width, Height int
	State               State
}

// newChart gives bars of hours without calls a minimum height, so that every hour is visible.
func newChart(svc Service) chart {
	ch := chart{Width: barPitch * len(svc.Hours), Height: chartHeight}
	var maxTotal int64 = 1
	for _, hr := range svc.Hours {
		maxTotal = max(maxTotal, hr.Total())
	}
	const minHeight = 4
	for ix, hr := range svc.Hours {
		height := minHeight + int(float64(hr.Total())/float64(maxTotal)*(chartHeight-minHeight))
		ch.Bars = append(ch.Bars, bar{
			X: ix * barPitch, Y: chartHeight - height, Width: barWidth, Height: height, State: hr.State,
		})
	}
	return ch
}
