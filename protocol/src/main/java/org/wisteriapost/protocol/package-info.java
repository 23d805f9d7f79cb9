/**
 * The protocols between wisteriapost processes and with callers, runners and external
 * systems.
 */
package org.wisteriapost.protocol;
