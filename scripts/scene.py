#!/usr/bin/env python3
"""Prints a scene for tools/loadtool.

Rates are parts of the fleet's capacity: the sum of the engines' slots divided by
the time that a request holds one, at the rated time per token.
"""
import argparse
import glob
import json
import sys

import yaml

MAX_TOKENS = 60
FIRST_TOKEN_S = 0.1
TOKEN_S = 0.02
HOLD_S = FIRST_TOKEN_S + (MAX_TOKENS - 1) * TOKEN_S

# Caller, part of the class's rate and models with weights.
MIXES = {
    "shop": {
        "interactive": [("counter", 0.7, {
            "diagnosis-standard": 4, "diagnosis-large": 2, "diagnosis-leaf-shutter": 1,
            "diagnosis-focal-plane": 1, "diagnosis-rangefinder": 1, "estimate-labour": 1}),
            ("phone-desk", 0.3, {"customer-reply": 2, "estimate-deposit": 1,
                                 "warranty-reader": 1})],
        "lookup": [("spares-ledger", 0.6, {
            "spares-ledger-lookup": 2, "spares-substitution": 1,
            "spares-ledger-lookup-springs": 1}),
            ("workshop-summaries", 0.4, {"spares-summary": 1, "repair-notes-summary": 1})],
        "overnight": [("night-batch", 1, {
            "overnight-diagnosis": 3, "diagnosis-standard": 2, "diagnosis-large": 1,
            "diagnosis-light-meter": 1, "diagnosis-self-timer": 1,
            "diagnosis-flash-sync": 1, "spares-summary": 1})],
    },
    "kitchen": {
        "interactive": [("stove", 0.7, {
            "recipe-rescale": 4, "recipe-large": 2, "measure-convert": 2,
            "batter-helper": 1, "dough-helper": 1, "sauce-helper": 1}),
            ("tablet", 0.3, {"oven-timing": 1, "altitude-adjust": 1, "translation": 1})],
        "lookup": [("grocery-lists", 0.6, {"ingredient-summary": 2, "grocery-list": 1}),
                   ("pantry", 0.4, {"pantry-lookup": 1, "substitution-lookup": 1,
                                    "allergen-lookup": 1, "nutrition-summary": 1})],
        "overnight": [("night-planner", 1, {
            "menu-planner": 3, "menu-balance": 2, "recipe-rescale": 1,
            "cookbook-editor": 1, "recipe-large": 1})],
    },
}
PATHS = {"interactive": "/v1/chat/completions", "lookup": "/v1/completions",
         "overnight": "/v1/chat/completions"}
ORDINARY = {"interactive": 0.24, "lookup": 0.16, "overnight": 0.20}
THREADS = {"interactive": 150, "lookup": 100, "overnight": 150}
# More than all entries serve at once, so that refusals keep the load open-loop.
FLOOD_THREADS = 900
HOT_MODEL = {"shop": "diagnosis-leaf-shutter", "kitchen": "batter-helper"}
HOT_FACTOR = 10


def read_list(directory, key):
    items = []
    for path in sorted(glob.glob(directory + "/*.yaml")):
        with open(path, encoding="utf-8") as file:
            items += (yaml.safe_load(file) or {}).get(key, [])
    return items


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("configuration", help="directory")
    parser.add_argument("--mix", choices=sorted(MIXES), required=True)
    parser.add_argument("--scene", required=True, choices=[
        "ordinary", "overnight-flood", "interactive-flood", "hot-model",
        "dispatcher-killed", "data-centre-killed"])
    parser.add_argument("--duration", type=float, default=30)
    parser.add_argument("--warm-up", type=float, default=6)
    options = parser.parse_args()

    slots = sum(one.get("slots", 8) for one in read_list(options.configuration, "endpoints")
                if one["kind"] == "engine")
    capacity = slots / HOLD_S
    keys = {one["name"]: one["api_key"]
            for one in read_list(options.configuration, "callers")}
    parts = dict(ORDINARY)
    threads = dict(THREADS)
    if options.scene == "overnight-flood":
        parts["overnight"] = 3
        threads["overnight"] = FLOOD_THREADS
    if options.scene == "interactive-flood":
        parts["interactive"] = 2
        threads["interactive"] = FLOOD_THREADS

    callers = []
    for name, mix in MIXES[options.mix].items():
        for caller, part, models in mix:
            rate = capacity * parts[name] * part
            hot = HOT_MODEL[options.mix]
            models = dict(models)
            if options.scene == "hot-model" and hot in models:
                factor = 1 + (HOT_FACTOR - 1) * models[hot] / sum(models.values())
                models[hot] *= HOT_FACTOR
                rate *= factor
            callers.append({
                "name": caller, "api_key": keys[caller], "priority": name,
                "path": PATHS[name], "rate_per_s": round(rate, 3),
                "max_tokens": MAX_TOKENS, "prompt_groups": 16,
                "threads": max(20, int(threads[name] * part)),
                "models": [{"name": model, "weight": weight}
                           for model, weight in models.items()]})
    scene = {"seed": 1, "duration_s": options.duration, "warm_up_s": options.warm_up,
             "drain_s": 5, "callers": callers}
    print(f"# {options.scene}: capacity {capacity:.1f} requests/s, {slots} slots of "
          f"{HOLD_S:.2f} s")
    print(json.dumps(scene, indent=1))


if __name__ == "__main__":
    sys.exit(main())
