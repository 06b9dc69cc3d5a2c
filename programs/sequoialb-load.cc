// The load and experiment tool: online questions in an open loop together with
// batches, and what became of them.
//
// Latency counts from the instant at which a question was due, not from when a
// busy client got round to sending it, so a stalled system cannot hide its
// stalls. Every answer is checked to be whole and the caller's own.
#include <json/value.h>

#include <algorithm>
#include <atomic>
#include <cmath>
#include <condition_variable>
#include <csignal>
#include <deque>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <mutex>
#include <random>
#include <sstream>
#include <thread>

#include "base/hash.h"
#include "client/arguments.h"
#include "client/caller_client.h"
#include "client/http_client.h"
#include "rates/owner_bucket.h"
#include "settings/json_fields.h"

namespace {

using namespace sequoialb;  // NOLINT(google-build-using-namespace)

constexpr char kUsage[] =
    R"(Puts load on a sequoialb deployment and reports what became of it.

Usage:
  sequoialb-load --servers=LIST --keys=LIST [options]

Options:
  --servers=LIST     Hosts, "IP:PORT", comma separated; used in turn.
  --keys=LIST        ACCOUNT=KEY of each client account, comma separated.
  --model=NAME       Model to ask [default: cart-7b].
  --seconds=X        Length of the online load [default: 10].
  --rate=X           Questions a second of each account [default: 10].
  --rates=LIST       ACCOUNT=RATE for accounts that differ, comma separated.
  --terms=LIST       ACCOUNT=RATE/BURST as in the service document, to judge
                     which refusals were wrongful.
  --burst-at=X       Second at which the burst begins [default: 0].
  --burst-seconds=X  Length of the burst [default: 0].
  --burst-factor=X   Factor on all rates during the burst [default: 10].
  --tokens=N         Tokens of an answer [default: 16].
  --prompt-chars=N   Characters of a prompt beyond its prefix [default: 40].
  --prefixes=N       Different prompt prefixes [default: 50].
  --zipf=X           Skew of the prefixes, 0 for uniform [default: 1.1].
  --batch-items=N    Items of a batch sent first; 0 for none [default: 0].
  --batch-tokens=N   Tokens of a batch item [default: 32].
  --batch-account=A  Account of the batch; default: the first.
  --skew=X           Share of questions sent to the first host [default: 0].
  --threads=N        Requests under way at once, at the most [default: 600].
  --json=FILE        Write the figures here.
  --plot=FILE        Write an SVG of latency over time here.
  --seed=N           Seed of arrivals and prompts [default: 1].
)";

std::vector<std::string> Split(const std::string& text, char separator) {
  std::vector<std::string> out;
  std::istringstream in(text);
  for (std::string part; std::getline(in, part, separator);) {
    out.push_back(part);
  }
  return out;
}

std::map<std::string, std::string> Pairs(const std::string& text) {
  std::map<std::string, std::string> out;
  for (const std::string& part : Split(text, ',')) {
    const size_t equals = part.find('=');
    out[part.substr(0, equals)] = part.substr(equals + 1);
  }
  return out;
}

struct Plan {
  std::vector<std::string> servers;
  std::map<std::string, std::string> keys;
  std::map<std::string, double> rates;
  std::map<std::string, RateLimit> terms;
  std::string model;
  double seconds = 10;
  double burst_at = 0;
  double burst_seconds = 0;
  double burst_factor = 10;
  uint32_t tokens = 16;
  size_t prompt_chars = 40;
  size_t prefixes = 50;
  double zipf = 1.1;
  double skew = 0;
  size_t threads = 600;
  size_t batch_items = 0;
  uint32_t batch_tokens = 32;
  std::string batch_account;
  uint64_t seed = 1;
};

Plan ReadPlan(const Arguments& arguments) {
  const auto text = [&arguments](const char* name) {
    const auto& value = arguments.at(name);
    return value && value.isString() ? value.asString() : std::string();
  };
  const auto number = [&text](const char* name) {
    return std::stod(text(name));
  };
  Plan plan;
  plan.servers = Split(text("--servers"), ',');
  plan.keys = Pairs(text("--keys"));
  for (const auto& [account, key] : plan.keys) {
    plan.rates[account] = number("--rate");
  }
  for (const auto& [account, rate] : Pairs(text("--rates"))) {
    plan.rates[account] = std::stod(rate);
  }
  for (const auto& [account, terms] : Pairs(text("--terms"))) {
    const auto parts = Split(terms, '/');
    plan.terms[account] =
        RateLimit{std::stod(parts.at(0)), std::stod(parts.at(1))};
  }
  plan.model = text("--model");
  plan.seconds = number("--seconds");
  plan.burst_at = number("--burst-at");
  plan.burst_seconds = number("--burst-seconds");
  plan.burst_factor = number("--burst-factor");
  plan.tokens = static_cast<uint32_t>(number("--tokens"));
  plan.prompt_chars = static_cast<size_t>(number("--prompt-chars"));
  plan.prefixes = static_cast<size_t>(number("--prefixes"));
  plan.zipf = number("--zipf");
  plan.skew = number("--skew");
  plan.threads = static_cast<size_t>(number("--threads"));
  plan.batch_items = static_cast<size_t>(number("--batch-items"));
  plan.batch_tokens = static_cast<uint32_t>(number("--batch-tokens"));
  plan.batch_account = text("--batch-account");
  if (plan.batch_account.empty()) {
    plan.batch_account = plan.keys.begin()->first;
  }
  plan.seed = std::stoull(text("--seed"));
  return plan;
}

// One question that is due.
struct Arrival {
  double due_s = 0;
  std::string account;
  std::string prompt;
  std::string server;
  bool in_burst = false;
};

// Draws prefix numbers with probability proportional to 1 / rank^skew.
class ZipfDraw {
 public:
  ZipfDraw(size_t count, double skew) {
    double sum = 0;
    for (size_t rank = 1; rank <= count; ++rank) {
      sum += 1 / std::pow(static_cast<double>(rank), skew);
      cumulative_.push_back(sum);
    }
  }
  size_t operator()(std::mt19937_64& random) {
    std::uniform_real_distribution<double> draw(0, cumulative_.back());
    const auto found =
        std::lower_bound(cumulative_.begin(), cumulative_.end(), draw(random));
    return static_cast<size_t>(found - cumulative_.begin());
  }

 private:
  std::vector<double> cumulative_;
};

std::string PrefixText(size_t number) {
  // As long as what engines cache and the system hashes.
  std::string text = "catalogue " + std::to_string(number) + " ";
  while (text.size() < 300) {
    text += "axle tyre hull " + std::to_string(Hash64(text) % 1000) + " ";
  }
  return text.substr(0, 300);
}

std::vector<Arrival> DrawArrivals(const Plan& plan) {
  std::mt19937_64 random(plan.seed);
  ZipfDraw zipf(plan.prefixes, plan.zipf);
  std::uniform_real_distribution<double> unit(0, 1);
  std::vector<Arrival> arrivals;
  size_t turn = 0;
  for (const auto& [account, rate] : plan.rates) {
    double at = 0;
    while (rate > 0) {
      const bool in_burst = plan.burst_seconds > 0 && at >= plan.burst_at &&
                            at < plan.burst_at + plan.burst_seconds;
      const double now_rate = in_burst ? rate * plan.burst_factor : rate;
      at += -std::log(1 - unit(random)) / now_rate;
      if (at >= plan.seconds) {
        break;
      }
      Arrival arrival;
      arrival.due_s = at;
      arrival.account = account;
      arrival.in_burst = plan.burst_seconds > 0 && at >= plan.burst_at &&
                         at < plan.burst_at + plan.burst_seconds;
      arrival.prompt = PrefixText(zipf(random)) + " question " +
                       std::to_string(arrivals.size()) +
                       std::string(plan.prompt_chars, 'q') +
                       " TOKENS=" + std::to_string(plan.tokens);
      arrival.server = unit(random) < plan.skew
                           ? plan.servers.front()
                           : plan.servers[turn++ % plan.servers.size()];
      arrivals.push_back(std::move(arrival));
    }
  }
  std::sort(
      arrivals.begin(), arrivals.end(),
      [](const Arrival& a, const Arrival& b) { return a.due_s < b.due_s; });
  return arrivals;
}

struct Outcome {
  double due_s = 0;
  std::string account;
  double first_token_ms = 0;
  double total_ms = 0;
  double worst_gap_ms = 0;
  bool whole = false;
  bool wrong = false;
  bool in_burst = false;
  std::string error;
  RunState run = RunState::kRan;
};

std::string ExpectedText(const std::string& prompt, uint32_t tokens) {
  std::string answer;
  for (uint32_t i = 0; i < tokens; ++i) {
    std::array<char, 48> text{};
    std::snprintf(
        text.data(), text.size(), "t%u-%04x ", i,
        static_cast<unsigned>(Hash64("user: " + prompt + "\n") & 0xFFFFU));
    answer += text.data();
  }
  return answer;
}

double Quantile(std::vector<double> values, double q) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  const auto position = static_cast<size_t>(
      std::lround(q * static_cast<double>(values.size() - 1)));
  return values[position];
}

class LoadRun {
 public:
  explicit LoadRun(const Plan& plan)
      : plan_(plan), arrivals_(DrawArrivals(plan)) {}

  void Run() {
    if (plan_.batch_items > 0) {
      SendBatch();
    }
    start_ = Clock::now();
    std::vector<std::thread> threads;
    for (size_t i = 0; i < std::min(plan_.threads, arrivals_.size()); ++i) {
      threads.emplace_back([this] { Work(); });
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
    if (plan_.batch_items > 0) {
      batch_done_ = BatchDone();
      batch_seconds_ = ToSeconds(Clock::now() - batch_start_);
    }
  }

  Json::Value Report() const {
    Json::Value json;
    std::vector<const Outcome*> all;
    std::map<std::string, std::vector<const Outcome*>> by_account;
    std::vector<const Outcome*> burst;
    for (const Outcome& outcome : outcomes_) {
      all.push_back(&outcome);
      by_account[outcome.account].push_back(&outcome);
      if (outcome.in_burst) {
        burst.push_back(&outcome);
      }
    }
    json["all"] = Figures(all);
    if (!burst.empty()) {
      json["burst"] = Figures(burst);
    }
    double worst_p99 = 0;
    std::vector<double> p99s;
    for (const auto& [account, outcomes] : by_account) {
      json["accounts"][account] = Figures(outcomes);
      const double p99 =
          json["accounts"][account]["first_token_p99_ms"].asDouble();
      p99s.push_back(p99);
      worst_p99 = std::max(worst_p99, p99);
    }
    json["worst_account_p99_ms"] = worst_p99;
    json["median_account_p99_ms"] = Quantile(p99s, 0.5);
    json["over_admitted"] = OverAdmitted();
    json["wrongful_refusals"] = WrongfulRefusals();
    for (const Outcome& outcome : outcomes_) {
      if (!outcome.whole) {
        Json::Value& count = json["errors"][outcome.error];
        count = count.asUInt() + 1;
      }
    }
    if (plan_.batch_items > 0) {
      json["batch_accepted_s"] = accept_seconds_;
      json["batch_items_done"] = batch_done_;
      json["batch_items_per_s"] = batch_done_ / batch_seconds_;
    }
    return json;
  }

  const std::vector<Outcome>& outcomes() const { return outcomes_; }

 private:
  void Work() {
    while (true) {
      const size_t position = next_.fetch_add(1);
      if (position >= arrivals_.size()) {
        return;
      }
      const Arrival& arrival = arrivals_[position];
      std::this_thread::sleep_until(start_ + FromSeconds(arrival.due_s));
      Outcome outcome = Ask(arrival);
      const std::lock_guard<std::mutex> lock(mutex_);
      outcomes_.push_back(std::move(outcome));
    }
  }

  Outcome Ask(const Arrival& arrival) const {
    const TimePoint due = start_ + FromSeconds(arrival.due_s);
    Outcome outcome;
    outcome.due_s = arrival.due_s;
    outcome.account = arrival.account;
    outcome.in_burst = arrival.in_burst;
    AskOptions options;
    options.server = arrival.server;
    options.key = plan_.keys.at(arrival.account);
    options.model = plan_.model;
    options.prompt = arrival.prompt;
    options.deadline = Clock::now() + seconds(60);
    TimePoint last = due;
    bool first = true;
    const auto answer =
        sequoialb::Ask(options, [&](const std::string& /*text*/) {
          const TimePoint now = Clock::now();
          const double gap_ms = 1000 * ToSeconds(now - last);
          if (first) {
            outcome.first_token_ms = gap_ms;
          } else {
            outcome.worst_gap_ms = std::max(outcome.worst_gap_ms, gap_ms);
          }
          first = false;
          last = now;
        });
    outcome.total_ms = 1000 * ToSeconds(Clock::now() - due);
    if (answer) {
      outcome.whole =
          answer->text == ExpectedText(arrival.prompt, plan_.tokens);
      outcome.wrong = !outcome.whole;
      outcome.error = outcome.whole ? "" : "wrong answer";
    } else {
      outcome.error = std::string(ErrorName(answer.error().code)) + " (" +
                      std::string(RunStateName(answer.error().run)) + ")";
      outcome.run = answer.error().run;
    }
    return outcome;
  }

  static Json::Value Figures(const std::vector<const Outcome*>& outcomes) {
    std::vector<double> first;
    std::vector<double> total;
    std::vector<double> gaps;
    unsigned refused = 0;
    unsigned lost = 0;
    unsigned wrong = 0;
    for (const Outcome* outcome : outcomes) {
      if (outcome->whole) {
        first.push_back(outcome->first_token_ms);
        total.push_back(outcome->total_ms);
        gaps.push_back(outcome->worst_gap_ms);
      } else if (outcome->wrong) {
        ++wrong;
      } else {
        ++(outcome->run == RunState::kNotRun ? refused : lost);
      }
    }
    Json::Value json;
    json["asked"] = static_cast<unsigned>(outcomes.size());
    json["whole"] = static_cast<unsigned>(first.size());
    json["refused"] = refused;
    json["lost"] = lost;
    json["wrong"] = wrong;
    double sum = 0;
    for (const double value : first) {
      sum += value;
    }
    json["first_token_mean_ms"] =
        first.empty() ? 0 : sum / static_cast<double>(first.size());
    json["first_token_p50_ms"] = Quantile(first, 0.5);
    json["first_token_p95_ms"] = Quantile(first, 0.95);
    json["first_token_p99_ms"] = Quantile(first, 0.99);
    json["first_token_max_ms"] = Quantile(first, 1);
    json["worst_gap_p95_ms"] = Quantile(gaps, 0.95);
    json["total_p99_ms"] = Quantile(total, 0.99);
    return json;
  }

  // Admissions of an account, by the time at which they were due.
  std::map<std::string, std::vector<double>> Admissions() const {
    std::map<std::string, std::vector<double>> times;
    for (const Outcome& outcome : outcomes_) {
      const bool limited = outcome.error.rfind("rate_limited", 0) == 0;
      if (!limited) {
        times[outcome.account].push_back(outcome.due_s);
      }
    }
    for (auto& [account, list] : times) {
      std::sort(list.begin(), list.end());
    }
    return times;
  }

  // How many admissions exceed burst + rate * span, at the worst span from the
  // start of the run. The slack is one request for the time under way.
  unsigned OverAdmitted() const {
    unsigned over = 0;
    for (const auto& [account, times] : Admissions()) {
      const auto terms = plan_.terms.find(account);
      if (terms == plan_.terms.end()) {
        continue;
      }
      constexpr double kTravelS = 0.1;
      for (size_t i = 0; i < times.size(); ++i) {
        const double allowed =
            terms->second.burst + terms->second.rate * (times[i] + kTravelS);
        const double excess = static_cast<double>(i + 1) - allowed;
        over = std::max(
            over, static_cast<unsigned>(std::max(0.0, std::ceil(excess))));
      }
    }
    return over;
  }

  // How many fewer requests were admitted than by one full bucket for the whole
  // fleet. Which of an excess is refused does not matter, so counts are
  // compared and not single requests.
  unsigned WrongfulRefusals() const {
    unsigned wrongful = 0;
    std::map<std::string, std::vector<const Outcome*>> by_account;
    for (const Outcome& outcome : outcomes_) {
      by_account[outcome.account].push_back(&outcome);
    }
    for (auto& [account, outcomes] : by_account) {
      const auto terms = plan_.terms.find(account);
      if (terms == plan_.terms.end()) {
        continue;
      }
      std::sort(outcomes.begin(), outcomes.end(),
                [](const Outcome* a, const Outcome* b) {
                  return a->due_s < b->due_s;
                });
      const unsigned by_one_bucket =
          AdmittedByOneBucket(terms->second, outcomes);
      unsigned admitted = 0;
      for (const Outcome* outcome : outcomes) {
        const bool refused =
            !outcome->whole && outcome->run == RunState::kNotRun;
        admitted += refused ? 0 : 1;
      }
      wrongful += by_one_bucket > admitted ? by_one_bucket - admitted : 0;
    }
    return wrongful;
  }

  static unsigned AdmittedByOneBucket(
      const RateLimit& terms, const std::vector<const Outcome*>& outcomes) {
    double tokens = terms.burst;
    double last = 0;
    unsigned admitted = 0;
    for (const Outcome* outcome : outcomes) {
      tokens =
          std::min(terms.burst, tokens + terms.rate * (outcome->due_s - last));
      last = outcome->due_s;
      if (tokens >= 1) {
        tokens -= 1;
        ++admitted;
      }
    }
    return admitted;
  }

  void SendBatch() {
    std::string lines;
    for (size_t i = 0; i < plan_.batch_items; ++i) {
      Json::Value line;
      line["custom_id"] = "item-" + std::to_string(i);
      line["method"] = "POST";
      line["url"] = "/v1/chat/completions";
      line["body"]["model"] = plan_.model;
      Json::Value message;
      message["role"] = "user";
      message["content"] = "claim " + std::to_string(i) +
                           " TOKENS=" + std::to_string(plan_.batch_tokens);
      line["body"]["messages"].append(message);
      lines += JsonLine(line) + "\n";
    }
    const TimePoint sending = Clock::now();
    const auto batch =
        StartBatch(plan_.servers.front(), plan_.keys.at(plan_.batch_account),
                   lines, "1h", "", Clock::now() + seconds(60));
    if (!batch) {
      std::cerr << "sequoialb-load: the batch was refused: "
                << batch.error().detail << "\n";
      std::exit(1);
    }
    batch_id_ = JsonDocument::Parse(*batch, "batch")->root["id"].asString();
    batch_start_ = Clock::now();
    accept_seconds_ = ToSeconds(batch_start_ - sending);
    // Until batch work fills the engines there is nothing to measure against.
    std::this_thread::sleep_for(seconds(1));
  }

  double BatchDone() const {
    HttpCall call;
    call.server = plan_.servers.front();
    call.path = "/v1/batches/" + batch_id_;
    call.deadline = Clock::now() + seconds(10);
    call.headers["Authorization"] =
        "Bearer " + plan_.keys.at(plan_.batch_account);
    const auto answer = CallHttp(call);
    if (!answer) {
      return 0;
    }
    return JsonDocument::Parse(answer->body, "batch")
        ->root["request_counts"]["completed"]
        .asDouble();
  }

  const Plan plan_;
  const std::vector<Arrival> arrivals_;
  std::atomic<size_t> next_{0};
  TimePoint start_;
  mutable std::mutex mutex_;
  std::vector<Outcome> outcomes_;
  std::string batch_id_;
  TimePoint batch_start_;
  double batch_done_ = 0;
  double batch_seconds_ = 1;
  double accept_seconds_ = 0;
};

// Draws each question as a dot: when it was due, and its first token's latency
// on a logarithmic scale. Refusals stand on the upper edge.
void WritePlot(const std::string& path, const std::vector<Outcome>& outcomes,
               double seconds) {
  constexpr double kWidth = 900;
  constexpr double kHeight = 360;
  constexpr double kLeast = 1;
  constexpr double kMost = 10'000;
  const auto y = [&](double ms) {
    const double share = std::log(std::max(ms, kLeast)) / std::log(kMost);
    return kHeight - 30 - share * (kHeight - 60);
  };
  std::ofstream out(path);
  out << "<svg xmlns='http://www.w3.org/2000/svg' width='" << kWidth + 80
      << "' height='" << kHeight
      << "' font-family='sans-serif' font-size='11'>\n"
      << "<rect width='100%' height='100%' fill='white'/>\n";
  for (const double ms : {1.0, 10.0, 100.0, 1'000.0, 10'000.0}) {
    out << "<line x1='60' x2='" << kWidth + 60 << "' y1='" << y(ms) << "' y2='"
        << y(ms) << "' stroke='#ddd'/><text x='5' y='" << y(ms) + 4 << "'>"
        << ms << " ms</text>\n";
  }
  for (const Outcome& outcome : outcomes) {
    const double x = 60 + outcome.due_s / seconds * kWidth;
    const bool whole = outcome.whole;
    out << "<circle cx='" << x << "' cy='"
        << (whole ? y(outcome.first_token_ms) : 12) << "' r='1.6' fill='"
        << (whole ? "#2266aa" : "#cc3322") << "'/>\n";
  }
  out << "<text x='60' y='" << kHeight - 8
      << "'>first token by the second at which the question was due; red: not "
         "answered</text>\n"
      << "</svg>\n";
}

void PrintRow(const std::string& name, const Json::Value& figures) {
  std::cout << std::left << std::setw(20) << name << std::right << std::fixed
            << std::setprecision(1) << std::setw(7) << figures["asked"].asUInt()
            << std::setw(7) << figures["whole"].asUInt() << std::setw(8)
            << figures["refused"].asUInt() << std::setw(6)
            << figures["lost"].asUInt() << std::setw(6)
            << figures["wrong"].asUInt() << std::setw(10)
            << figures["first_token_p50_ms"].asDouble() << std::setw(10)
            << figures["first_token_p95_ms"].asDouble() << std::setw(10)
            << figures["first_token_p99_ms"].asDouble() << std::setw(10)
            << figures["first_token_max_ms"].asDouble() << std::setw(10)
            << figures["worst_gap_p95_ms"].asDouble() << "\n";
}

void PrintReport(const Json::Value& report) {
  std::cout << "                      asked  whole refused  lost wrong   p50 "
               "ms    p95 ms"
               "    p99 ms    max ms  gap95 ms\n";
  PrintRow("all", report["all"]);
  if (report.isMember("burst")) {
    PrintRow("burst", report["burst"]);
  }
  for (const std::string& account : report["accounts"].getMemberNames()) {
    PrintRow(account, report["accounts"][account]);
  }
  std::cout << "worst account p99 " << report["worst_account_p99_ms"].asDouble()
            << " ms, median account p99 "
            << report["median_account_p99_ms"].asDouble()
            << " ms\nover-admitted " << report["over_admitted"].asUInt()
            << ", wrongful refusals " << report["wrongful_refusals"].asUInt()
            << "\n";
  if (report.isMember("batch_items_per_s")) {
    std::cout << "batch accepted in " << report["batch_accepted_s"].asDouble()
              << " s, items a second " << report["batch_items_per_s"].asDouble()
              << "\n";
  }
  for (const std::string& error : report["errors"].getMemberNames()) {
    std::cout << "  " << report["errors"][error].asUInt() << " x " << error
              << "\n";
  }
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  const auto arguments = sequoialb::ParseArguments(kUsage, argc, argv);
  const Plan plan = ReadPlan(arguments);
  LoadRun run(plan);
  run.Run();
  const Json::Value report = run.Report();
  PrintReport(report);
  if (arguments.at("--json") && arguments.at("--json").isString()) {
    std::ofstream(arguments.at("--json").asString())
        << JsonLine(report) << "\n";
  }
  if (arguments.at("--plot") && arguments.at("--plot").isString()) {
    WritePlot(arguments.at("--plot").asString(), run.outcomes(), plan.seconds);
  }
  return 0;
}
