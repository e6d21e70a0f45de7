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
	"chart": chartOf,
	"note":  func(hr Hour) string { return hr.Note() },
	"label": func(hr Hour) string { return hr.Label() },
}).Parse(pageSource))

// contentPolicy allows nothing but the page's own style.
const contentPolicy = "default-src 'none'; style-src 'unsafe-inline'; base-uri 'none'; form-action 'none'; frame-ancestors 'none'"

// hoursPath is the last element of the path of the present day.
const hoursPath = "hours"

// view is what the template shows.
type view struct {
	*Page
	Previous, Next string
	// Base is the path of the days relative to the page.
	Base string
}

// ServeHTTP answers GET requests whose path ends in hours or in a day as a page, and in a day with
// .json as JSON. It is meant for the public.
func (pb *Publisher) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	if rq.Method != http.MethodGet && rq.Method != http.MethodHead {
		wr.Header().Set("Allow", "GET, HEAD")
		fail(wr, http.StatusMethodNotAllowed, "MethodNotAllowed", "only GET and HEAD are allowed")
		return
	}
	day, asJSON := strings.CutSuffix(path.Base(rq.URL.Path), ".json")
	base := ""
	if day == hoursPath {
		day = pb.Today()
		if !strings.HasSuffix(rq.URL.Path, "/") {
			base = hoursPath + "/"
		}
	}
	pg, err := pb.Page(rq.Context(), day)
	if err != nil {
		fail(wr, http.StatusNotFound, "NoSuchDay", ErrDay.Error())
		return
	}
	body, kind, err := pg.render(asJSON, base)
	if err != nil {
		fail(wr, http.StatusInternalServerError, "Internal", "the page could not be rendered")
		return
	}
	hd := wr.Header()
	hd.Set("Content-Type", kind)
	hd.Set("Cache-Control", "public, max-age=10")
	hd.Set("Content-Security-Policy", contentPolicy)
	hd.Set("X-Content-Type-Options", "nosniff")
	// A failed write means that the reader has gone.
	_, _ = wr.Write(body)
}

func (pg *Page) render(asJSON bool, base string) (body []byte, kind string, err error) {
	if asJSON {
		body, err = json.Marshal(pg)
		return body, "application/json; charset=utf-8", err
	}
	var bf bytes.Buffer
	err = pageTemplate.Execute(&bf, view{Page: pg, Previous: shift(pg.Day, -1), Next: shift(pg.Day, 1), Base: base})
	return bf.Bytes(), "text/html; charset=utf-8", err
}

func shift(day string, by int) string {
	at, err := time.Parse(time.DateOnly, day)
	if err != nil {
		return day
	}
	return at.AddDate(0, 0, by).Format(time.DateOnly)
}

func fail(wr http.ResponseWriter, status int, code, message string) {
	wr.Header().Set("Content-Type", "application/json; charset=utf-8")
	wr.WriteHeader(status)
	// A failed write means that the reader has gone.
	_ = json.NewEncoder(wr).Encode(modeler.Failure{Code: code, Message: message})
}

// Sizes of the chart, in the units of its view box.
const (
	barPitch    = 12
	barWidth    = 10
	chartHeight = 48
)

// chart is a bar for each hour with its calls. The colour of a bar is the state.
type chart struct {
	Width, Height int
	Bars          []bar
}

type bar struct {
	X, Y, Width, Height int
	State               State
}

// chartOf gives hours without calls the least height, so that none is left out.
func chartOf(svc Service) chart {
	ch := chart{Width: barPitch * len(svc.Hours), Height: chartHeight}
	var most int64 = 1
	for _, hr := range svc.Hours {
		most = max(most, hr.Total())
	}
	const least = 4
	for at, hr := range svc.Hours {
		height := least + int(float64(hr.Total())/float64(most)*(chartHeight-least))
		ch.Bars = append(ch.Bars, bar{
			X: at * barPitch, Y: chartHeight - height, Width: barWidth, Height: height, State: hr.State,
		})
	}
	return ch
}
