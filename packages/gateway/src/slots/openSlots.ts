/**
 * The places that requests of this instance have at endpoints now, whether an arbiter granted them or not. An arbiter that begins to
 * decide on a service asks for them, because it cannot know what others granted or what was sent before anybody decided.
 * @module
 */
import type { HeldSlot, SlotRegistry } from "./heldSlot.js";

/** Open places by service. */
export class OpenSlots implements SlotRegistry {
  private readonly byService = new Map<string, Set<HeldSlot>>();

  private constructor() {}

  static create(): OpenSlots {
    return new OpenSlots();
  }

  add(slot: HeldSlot): void {
    let slots = this.byService.get(slot.service);
    if (!slots) this.byService.set(slot.service, (slots = new Set()));
    slots.add(slot);
  }

  remove(slot: HeldSlot): void {
    this.byService.get(slot.service)?.delete(slot);
  }

  getOfService(service: string): Iterable<HeldSlot> {
    return this.byService.get(service) ?? [];
  }
}
